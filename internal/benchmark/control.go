package benchmark

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/pprof"
)

// Control measures control nodes. Its tables are those that were finished if it
// returns an error.
func Control(o Options) ([]Table, error) {
	o.withDefaults()
	stop, err := o.profile("control")
	if err != nil {
		return nil, err
	}
	defer stop()
	var tables []Table
	for _, measure := range []func(*Options) (Table, error){measureUpdates, measureRecovery, measureFailover} {
		table, err := measure(&o)
		if err != nil {
			return tables, err
		}
		tables = append(tables, table)
	}
	leases, err := measureLeases(&o)
	return append(tables, leases...), err
}

// profile starts a CPU profile of this process, if profiles are wanted.
func (o *Options) profile(name string) (stop func(), err error) {
	path, err := o.profilePath(name)
	if err != nil || path == "" {
		return func() {}, err
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		file.Close()
		return nil, fmt.Errorf("profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}

// profilePath makes the folder of profiles and returns a file's path in it;
// empty if no profile is wanted.
func (o *Options) profilePath(name string) (string, error) {
	if o.Profiles == "" {
		return "", nil
	}
	if err := os.MkdirAll(o.Profiles, 0o755); err != nil {
		return "", fmt.Errorf("folder of profiles: %w", err)
	}
	return filepath.Join(o.Profiles, name+".pprof"), nil
}
