package scale

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/transport"
)

// sample is a child's report of its resource usage and state, sent as one line of JSON.
type sample struct {
	At         int64 `json:"at"`  // nanoseconds of eventlog.Now
	CPU        int64 `json:"cpu"` // CPU time used since the process started, in nanoseconds
	Heap       int64 `json:"heap"`
	Resident   int64 `json:"resident"`
	Goroutines int   `json:"goroutines"`
	// Frames holds the transport counters by message kind, summed over all transport
	// nodes of the process.
	Frames map[transport.Kind]transport.KindCounters `json:"frames,omitempty"`
	// Leases is the number of gateways with a valid lease.
	// Activated is the number of gateways that have activated the configuration version
	// of the command; ActivatedAt is the time of the last of these activations, in
	// nanoseconds of eventlog.Now.
	Leases      int   `json:"leases,omitempty"`
	Activated   int   `json:"activated,omitempty"`
	ActivatedAt int64 `json:"activated_at,omitempty"`
}

// traffic returns the total messages and bytes of all kinds, sent and received.
func (s *sample) traffic() (messages, bytes float64) {
	for _, counters := range s.Frames {
		messages += float64(counters.SentMessages + counters.ReceivedMessages)
		bytes += float64(counters.SentBytes + counters.ReceivedBytes)
	}
	return messages, bytes
}

// sampleProcess returns a sample with the fields that are common to all jobs. It runs a
// garbage collection first if collect is true.
func sampleProcess(collect bool) sample {
	if collect {
		runtime.GC()
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return sample{
		At:         eventlog.Now(),
		CPU:        processorTime(),
		Heap:       int64(memory.HeapInuse + memory.StackInuse),
		Resident:   residentBytes(),
		Goroutines: runtime.NumGoroutine(),
	}
}

// processorTime returns the CPU time that this process has used, user and system, in
// nanoseconds.
func processorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(fmt.Sprintf("reading the CPU time: %v", err)) // cannot fail for the calling process
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// residentBytes returns the resident set size of this process, or 0 if it cannot be
// read.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
