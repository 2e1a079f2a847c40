package process

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage holds the resource usage of a process as reported by the kernel.
type Usage struct {
	// Resident is the resident memory in bytes.
	Resident int64
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// Read and Written are the bytes transferred by read and write system calls since the
	// start, including network traffic.
	Read, Written int64
}

// clockTicksPerSecond is the unit of CPU times in /proc.
const clockTicksPerSecond = 100

// Indexes of fields in /proc/<pid>/stat, starting after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// statmResident is the index of the field of /proc/<pid>/statm with the resident
// pages. The field in stat is an estimate that may be 0 for a process that has just
// started.
const statmResident = 1

// ReadUsage reads the current usage from /proc. It fails if the process has ended.
func (p *Process) ReadUsage() (Usage, error) {
	usage, err := readUsage(filepath.Join("/proc", strconv.Itoa(p.PID())))
	if err != nil {
		return Usage{}, fmt.Errorf("reading usage of %s: %w", p.name, err)
	}
	return usage, nil
}

// Descriptors returns the number of open file descriptors. It fails if the process has ended.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.PID()), "fd"))
	if err != nil {
		return 0, fmt.Errorf("reading descriptors of %s: %w", p.name, err)
	}
	return len(entries), nil
}

// readUsage reads the usage from a process's folder in /proc.
func readUsage(folder string) (Usage, error) {
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return Usage{}, err
	}
	statm, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return Usage{}, err
	}
	counts, err := os.ReadFile(filepath.Join(folder, "io"))
	if err != nil {
		return Usage{}, err
	}
	var usage Usage
	if usage.CPU, err = parseCPU(stat); err != nil {
		return Usage{}, err
	}
	if usage.Resident, err = parseResident(statm); err != nil {
		return Usage{}, err
	}
	usage.Read, usage.Written = parseCounts(counts)
	return usage, nil
}

func parseCPU(stat []byte) (time.Duration, error) {
	nameEnd := bytes.LastIndexByte(stat, ')') // the name may contain spaces
	fields := strings.Fields(string(stat[nameEnd+1:]))
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("/proc stat has only %d fields", len(fields))
	}
	var ticks int64
	for _, field := range []int{statUserTime, statSystemTime} {
		number, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += number
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// parseResident returns the resident memory in bytes.
func parseResident(statm []byte) (int64, error) {
	fields := strings.Fields(string(statm))
	if len(fields) <= statmResident {
		return 0, fmt.Errorf("/proc statm has only %d fields", len(fields))
	}
	pages, err := strconv.ParseInt(fields[statmResident], 10, 64)
	if err != nil {
		return 0, err
	}
	return pages * int64(os.Getpagesize()), nil
}

// parseCounts returns the numbers of bytes read and written. A missing or malformed count
// is 0.
func parseCounts(counts []byte) (read, written int64) {
	for _, line := range strings.Split(string(counts), "\n") {
		name, value, ok := strings.Cut(line, ": ")
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			continue
		}
		switch name {
		case "rchar":
			read = number
		case "wchar":
			written = number
		}
	}
	return read, written
}
