// Package benchmark measures real nodes of a fleet on one machine: control nodes
// with files and TCP on loopback, and a gateway between callers and stand-in
// replicas. Processes whose CPU time is counted apart run as workers: children
// of the measuring process that end with it. No daemon imports it.
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

// loopback is an address with a port of the system's choice.
const loopback = "127.0.0.1:0"

// Options sets up a benchmark.
type Options struct {
	// Short cuts every measurement down, to see that all of them run.
	Short bool
	// Only names the measurements to run; empty is all.
	Only []string
	// Worker makes the command of a child that calls RunWorker with the kind.
	Worker func(kind string) *exec.Cmd
	// Profiles is a folder for CPU profiles; empty takes none.
	Profiles string
	// Logger takes the messages for people; nil discards them.
	Logger *slog.Logger
}

func (o *Options) withDefaults() {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// pick returns the value of a full or of a short run.
func pick[Value any](o *Options, full, short Value) Value {
	if o.Short {
		return short
	}
	return full
}

// Machine describes where and when the measurement runs, in one line.
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

// processorTime is the CPU time that this process has used, user and system.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("reading the CPU time: %w", err)
	}
	return time.Duration(unix.TimevalToNsec(usage.Utime) + unix.TimevalToNsec(usage.Stime)), nil
}
