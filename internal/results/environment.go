package results

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// unknownCommit is the revision in the record if the build did not record one.
const unknownCommit = "unknown"

// CurrentBuild returns the revision that the compiler recorded in this program.
func CurrentBuild() Build {
	build := Build{Commit: unknownCommit}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Commit = setting.Value
		case "vcs.modified":
			build.Modified = setting.Value == "true"
		}
	}
	return build
}

// CurrentMachine describes this machine and its current load.
func CurrentMachine() Machine {
	machine := Machine{Processors: runtime.NumCPU()}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		machine.MemoryBytes = int64(info.Totalram) * int64(info.Unit)
	}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		lastMinute, _, _ := strings.Cut(string(text), " ")
		machine.LoadBefore, _ = strconv.ParseFloat(lastMinute, 64) // 0 if it cannot be parsed
	}
	return machine
}
