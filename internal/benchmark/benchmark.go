// Package benchmark measures complete nodes of a fleet on one machine: control nodes
// that store files and communicate over TCP on the loopback interface, and a gateway
// between callers and stand-in replicas. Nodes whose CPU time must be measured
// separately run in a worker, which is a child process that exits when its parent does.
// No daemon imports the package.
package benchmark

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// loopback is a listen address whose port the operating system assigns.
const loopback = "127.0.0.1:0"

// Options configures a benchmark.
type Options struct {
	// Short shortens every measurement. Such a run only checks that all of them work.
	Short bool
	// Only names the measurements to run. If it is empty, all of them run.
	Only []string
	// Worker returns the command of a child process that calls RunWorker with the given
	// kind.
	Worker func(kind string) *exec.Cmd
	// Profiles is the folder for CPU profiles. If it is empty, none are recorded.
	Profiles string
	// Logger receives the log messages of the nodes. If it is nil, they are discarded.
	Logger *slog.Logger
}

func (o *Options) withDefaults() {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// fullOrShort returns short if the run is a short one, and full otherwise.
func fullOrShort[Value any](o *Options, full, short Value) Value {
	if o.Short {
		return short
	}
	return full
}

// Machine returns one line of text that describes the date, the machine, its current load
// and whether the run is a short one.
func Machine(short bool) string {
	load := "unknown"
	if content, err := os.ReadFile("/proc/loadavg"); err == nil {
		load = strings.Join(strings.Fields(string(content))[:3], " ")
	}
	run := "full run"
	if short {
		run = "short run"
	}
	return fmt.Sprintf("%s, %s, %s/%s, %d CPUs, load averages at the start %s, %s.",
		time.Now().Format(time.DateOnly), runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), load, run)
}

// processorTime returns the CPU time that this process has used, user and system.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("reading the CPU time: %w", err)
	}
	return time.Duration(unix.TimevalToNsec(usage.Utime) + unix.TimevalToNsec(usage.Stime)), nil
}
