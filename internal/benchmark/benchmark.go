// Package benchmark measures real nodes of a fleet on one machine: control nodes
// with files and TCP on loopback, and a gateway between callers and stand-in
// replicas. What must have its CPU time measured separately runs in a worker: a
// child process that ends with its parent. No daemon imports it.
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

// loopback is a listen address whose port the system chooses.
const loopback = "127.0.0.1:0"

// Options configures a benchmark.
type Options struct {
	// Short shortens every measurement, to check that all of them run.
	Short bool
	// Only names the measurements to run; empty for all.
	Only []string
	// Worker returns the command of a child process that calls RunWorker with the kind.
	Worker func(kind string) *exec.Cmd
	// Profiles is a folder for CPU profiles; empty for none.
	Profiles string
	// Logger takes the log messages of the nodes; nil discards them.
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

// Machine describes the machine, its load and the date in one line of text.
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
