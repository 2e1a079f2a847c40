package benchmark

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"
)

// measurement is one part of a benchmark, which can be selected by name.
type measurement struct {
	name string
	run  func(*Options) ([]Table, error)
}

var controlMeasurements = []measurement{
	{"updates", measureUpdates},
	{"recovery", measureRecovery},
	{"documents", measureDocuments},
	{"failover", measureFailover},
	{"leases", measureLeases},
}

// Control runs the measurements of control nodes. If one fails, Control returns the error
// and the tables completed before it.
func Control(o Options) ([]Table, error) { return o.measure("control", controlMeasurements) }

// measure runs the selected measurements in order. It records a CPU profile of this process
// if profiles are enabled.
func (o *Options) measure(profile string, measurements []measurement) ([]Table, error) {
	o.withDefaults()
	known := make([]string, 0, len(measurements))
	for _, one := range measurements {
		known = append(known, one.name)
	}
	for _, name := range o.Only {
		if !slices.Contains(known, name) {
			return nil, fmt.Errorf("unknown measurement %q; known ones are %s", name, strings.Join(known, ", "))
		}
	}
	stop, err := o.profile(profile)
	if err != nil {
		return nil, err
	}
	defer stop()
	var tables []Table
	for _, one := range measurements {
		if len(o.Only) > 0 && !slices.Contains(o.Only, one.name) {
			continue
		}
		finished, err := one.run(o)
		tables = append(tables, finished...)
		if err != nil {
			return tables, fmt.Errorf("%s: %w", one.name, err)
		}
	}
	return tables, nil
}

// profile starts a CPU profile of this process if profiles are enabled. The caller must
// call stop.
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

// profilePath creates the folder for profiles and returns the path of the named profile in
// it. It returns an empty path if profiles are disabled.
func (o *Options) profilePath(name string) (string, error) {
	if o.Profiles == "" {
		return "", nil
	}
	if err := os.MkdirAll(o.Profiles, 0o755); err != nil {
		return "", fmt.Errorf("creating the folder for profiles: %w", err)
	}
	return filepath.Join(o.Profiles, name+".pprof"), nil
}
