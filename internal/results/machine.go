package results

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// ThisBuild reads what the compiler noted of the source; "unknown" without it.
func ThisBuild() Build {
	build := Build{Commit: "unknown"}
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

// ThisMachine describes the machine now.
func ThisMachine() Machine {
	machine := Machine{Processors: runtime.NumCPU()}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		machine.MemoryBytes = int64(info.Totalram) * int64(info.Unit)
	}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		first, _, _ := strings.Cut(string(text), " ")
		machine.LoadBefore, _ = strconv.ParseFloat(first, 64) // absent shows as 0
	}
	return machine
}
