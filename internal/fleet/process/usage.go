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

// Usage is what the kernel counts for one process.
type Usage struct {
	// Resident is memory in bytes.
	Resident int64
	// CPU is user and system time since the start.
	CPU time.Duration
	// Read and Written are bytes through system calls, network included.
	Read, Written int64
}

// clockTicks is the unit of CPU times in /proc, per second.
const clockTicks = 100

// Fields of /proc/<pid>/stat after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// statmResident is the field of /proc/<pid>/statm with the resident pages. The
// one in stat is an estimate that may be 0 for a process that has just started.
const statmResident = 1

// ReadUsage reads the present usage from /proc.
func (p *Process) ReadUsage() (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(p.PID()))
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return Usage{}, fmt.Errorf("reading usage of %s: %w", p.name, err)
	}
	usage, err := parseStat(stat)
	if err != nil {
		return Usage{}, fmt.Errorf("reading usage of %s: %w", p.name, err)
	}
	pages, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return Usage{}, fmt.Errorf("reading usage of %s: %w", p.name, err)
	}
	if usage.Resident, err = parseResident(pages); err != nil {
		return Usage{}, fmt.Errorf("reading usage of %s: %w", p.name, err)
	}
	counts, err := os.ReadFile(filepath.Join(folder, "io"))
	if err != nil {
		return Usage{}, fmt.Errorf("reading usage of %s: %w", p.name, err)
	}
	usage.Read, usage.Written = parseCounts(counts)
	return usage, nil
}

func parseStat(stat []byte) (Usage, error) {
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) <= statSystemTime {
		return Usage{}, fmt.Errorf("unexpected stat of %d fields", len(fields))
	}
	var numbers [2]int64
	for i, field := range []int{statUserTime, statSystemTime} {
		number, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Usage{}, err
		}
		numbers[i] = number
	}
	ticks := time.Duration(numbers[0] + numbers[1])
	return Usage{CPU: ticks * time.Second / clockTicks}, nil
}

func parseResident(statm []byte) (int64, error) {
	fields := strings.Fields(string(statm))
	if len(fields) <= statmResident {
		return 0, fmt.Errorf("unexpected statm of %d fields", len(fields))
	}
	pages, err := strconv.ParseInt(fields[statmResident], 10, 64)
	if err != nil {
		return 0, err
	}
	return pages * int64(os.Getpagesize()), nil
}

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
