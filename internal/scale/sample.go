package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/transport"
)

// order is what a child process is told on its standard input, one JSON line
// each: first what to be, then when to report. The end of the input ends it.
type order struct {
	// Setup is set in the first order only.
	Setup *setup `json:"setup,omitempty"`
	// Collect frees unused memory before the report.
	Collect bool `json:"collect,omitempty"`
	// Restart is how many hollow gateways to restart before the report.
	Restart int `json:"restart,omitempty"`
	// Version is the configuration version to report the activation of.
	Version uint64 `json:"version,omitempty"`
}

// setup says what a child is.
type setup struct {
	Role     string            `json:"role"`
	Name     string            `json:"name"`
	Zone     string            `json:"zone,omitempty"`
	Region   string            `json:"region,omitempty"`
	Peer     string            `json:"peer,omitempty"`
	HTTP     string            `json:"http,omitempty"`
	Folder   string            `json:"folder,omitempty"`
	Initial  map[string]string `json:"initial,omitempty"`
	Seeds    []string          `json:"seeds,omitempty"`
	Key      []byte            `json:"key"`
	Gateways int               `json:"gateways,omitempty"`
	Gap      string            `json:"gap,omitempty"`
}

// sample is a child's report.
type sample struct {
	At         int64 `json:"at"`  // nanoseconds of eventlog.Now
	CPU        int64 `json:"cpu"` // nanoseconds of processor time since the start
	Heap       int64 `json:"heap"`
	Resident   int64 `json:"resident"`
	Goroutines int   `json:"goroutines"`
	// Frames are the transport's counters, summed over the process's nodes.
	Frames map[transport.Kind]transport.KindCounters `json:"frames,omitempty"`
	// Leases counts hollow gateways with a valid lease; Activated those that made
	// the asked version active, the last of them at ActivatedAt.
	Leases      int   `json:"leases,omitempty"`
	Activated   int   `json:"activated,omitempty"`
	ActivatedAt int64 `json:"activated_at,omitempty"`
}

// traffic is the sum of a sample's frames.
func (s *sample) traffic() (messages, bytes float64) {
	for _, counters := range s.Frames {
		messages += float64(counters.SentMessages + counters.ReceivedMessages)
		bytes += float64(counters.SentBytes + counters.ReceivedBytes)
	}
	return messages, bytes
}

// measureProcess fills in what every process can say of itself.
func measureProcess(collect bool) sample {
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

func processorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(fmt.Sprintf("reading the processor time: %v", err)) // cannot fail for itself
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// residentBytes reads the resident size of this process, 0 if it is not told.
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

// part is what a child runs.
type part interface {
	// fill adds to a report what only this part knows.
	fill(report *sample, version uint64)
	close()
}

// ServeChild runs a child until its input ends.
func ServeChild(input io.Reader, output io.Writer) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, 1<<20)
	encoder := json.NewEncoder(output)
	var running part
	for scanner.Scan() {
		var next order
		if err := json.Unmarshal(scanner.Bytes(), &next); err != nil {
			return fmt.Errorf("malformed order: %w", err)
		}
		if next.Setup != nil {
			started, err := startPart(*next.Setup)
			if err != nil {
				return err
			}
			running = started
			defer running.close()
		}
		if gateways, ok := running.(*gatewaysPart); ok && next.Restart > 0 {
			if err := gateways.fleet.Restart(next.Restart); err != nil {
				return err
			}
		}
		report := measureProcess(next.Collect)
		running.fill(&report, next.Version)
		if err := encoder.Encode(report); err != nil {
			return err
		}
	}
	return scanner.Err()
}

// Roles of children.
const (
	roleControl  = "control"
	roleGateways = "hollow-gateways"
	roleGateway  = "gateway"
	roleReplica  = "hollow-replica"
)

func startPart(what setup) (part, error) {
	switch what.Role {
	case roleControl:
		return startControl(what)
	case roleGateways:
		return startGateways(what)
	case roleGateway:
		return startGateway(what)
	case roleReplica:
		return startReplica(what)
	default:
		return nil, fmt.Errorf("unknown role %q", what.Role)
	}
}
