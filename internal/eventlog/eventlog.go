// Package eventlog is the shared form of the event logs that stand-ins, callers
// and operators write and that the checker reads: JSON lines with stamps from
// the one monotonic clock of the machine (CLOCK_MONOTONIC), comparable between
// processes. Daemons never write or read it.
package eventlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Kind names an event.
type Kind string

// Kinds written by replicas.
const (
	ReplicaStarted  Kind = "replica_started"  // the process is up; Incarnation
	ReplicaReceived Kind = "replica_received" // first byte of a request seen; Request, Stamp*
	ReplicaExecuted Kind = "replica_executed" // execution began (counts for at-most-once); Request, Run
	ReplicaRefused  Kind = "replica_refused"  // answered "not started"; Code
	ReplicaEnded    Kind = "replica_ended"    // execution over; Detail whole, broken, canceled, late ...
	ReplicaDraining Kind = "replica_draining" // reports draining from now on
	ReplicaWarm     Kind = "replica_warm"     // no longer cold
	ReplicaFault    Kind = "replica_fault"    // a told misbehaviour took effect; Detail
)

// Kinds written by callers.
const (
	CallerAsked     Kind = "caller_asked"     // where-to-go answered; Gateway, Region
	CallerSent      Kind = "caller_sent"      // request sent; Request, Attempt, Gateway, Home, Repeatable
	CallerPiece     Kind = "caller_piece"     // stream event received; Run, Sequence
	CallerAnswered  Kind = "caller_answered"  // final: Outcome, Code, Run, Tokens, FirstTokenMS, ElapsedMS
	CallerAbandoned Kind = "caller_abandoned" // the caller hung up
)

// Kinds written by operators, the platform and the fleet tool.
const (
	OrderSent     Kind = "order_sent"     // Order, Base, Detail configuration|evacuate|withdraw, Zone
	OrderAnswered Kind = "order_answered" // Order, Outcome accepted|refused|unknown, Version, Serial, Code
	PlatformDrain Kind = "platform_drain" // Replica listed as draining, acknowledged
	FaultInjected Kind = "fault_injected" // Detail kill|freeze|thaw|wipe|start|cut|heal|evacuate..., Target
	FleetReady    Kind = "fleet_ready"
	Note          Kind = "note"
)

// Event is one line. Only the fields of its kind are set.
type Event struct {
	// At is nanoseconds of CLOCK_MONOTONIC.
	At          int64  `json:"at"`
	Kind        Kind   `json:"kind"`
	Source      string `json:"source"` // name of the writing stand-in, caller or operator
	Request     string `json:"request,omitempty"`
	Run         string `json:"run,omitempty"`
	Sequence    int    `json:"sequence,omitempty"`
	Attempt     int    `json:"attempt,omitempty"`
	Replica     string `json:"replica,omitempty"`
	Region      string `json:"region,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Gateway     string `json:"gateway,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Version     uint64 `json:"version,omitempty"`
	Serial      uint32 `json:"serial,omitempty"`
	Class       string `json:"class,omitempty"`
	Service     string `json:"service,omitempty"`
	Home        string `json:"home,omitempty"`
	// HomeRegions are the regions that the caller's home rule allows.
	HomeRegions  []string `json:"home_regions,omitempty"`
	Repeatable   bool     `json:"repeatable,omitempty"`
	Stream       bool     `json:"stream,omitempty"`
	Order        string   `json:"order,omitempty"`
	Base         uint64   `json:"base,omitempty"`
	Outcome      string   `json:"outcome,omitempty"`
	Code         string   `json:"code,omitempty"`
	Tokens       int      `json:"tokens,omitempty"`
	CachedTokens int      `json:"cached_tokens,omitempty"`
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	Cold         bool     `json:"cold,omitempty"`
	InFlight     int      `json:"in_flight,omitempty"` // at the replica, this request included
	FirstTokenMS float64  `json:"first_token_ms,omitempty"`
	ElapsedMS    float64  `json:"elapsed_ms,omitempty"`
	MaxGapMS     float64  `json:"max_gap_ms,omitempty"` // longest gap between pieces
	Target       string   `json:"target,omitempty"`
	Detail       string   `json:"detail,omitempty"`
}

// Now reads the machine's monotonic clock in nanoseconds.
func Now() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(fmt.Sprintf("eventlog: reading the monotonic clock: %v", err))
	}
	return now.Nano()
}

// Writer appends events to a file. It is safe for concurrent use.
type Writer struct {
	mutex  sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	source string
	failed error // first error of a write or flush, returned by Close
	stop   chan struct{}
	done   chan struct{}
}

// flushInterval bounds what a killed writer loses.
const flushInterval = 50 * time.Millisecond

// Open appends to the log at path.
func Open(path, source string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("opening event log: %w", err)
	}
	w := &Writer{file: file, buffer: bufio.NewWriterSize(file, 64<<10), source: source, stop: make(chan struct{}), done: make(chan struct{})}
	go w.flushLoop()
	return w, nil
}

// Write stamps the event, unless it has a stamp, and appends it.
func (w *Writer) Write(event Event) {
	if event.At == 0 {
		event.At = Now()
	}
	if event.Source == "" {
		event.Source = w.source
	}
	line, err := json.Marshal(event)
	if err != nil {
		panic(fmt.Sprintf("eventlog: encoding %s: %v", event.Kind, err))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, err = w.buffer.Write(append(line, '\n'))
	w.keep(err)
	if event.Kind == ReplicaExecuted || event.Kind == ReplicaReceived {
		w.keep(w.buffer.Flush()) // an execution must be on record even if the process is killed next
	}
}

// keep remembers the first error. The caller holds the mutex.
func (w *Writer) keep(err error) {
	if w.failed == nil {
		w.failed = err
	}
}

func (w *Writer) flushLoop() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.mutex.Lock()
			w.keep(w.buffer.Flush())
			w.mutex.Unlock()
		case <-w.stop:
			return
		}
	}
}

// Close flushes and closes the log. It returns the first error of any write.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.keep(w.buffer.Flush())
	w.keep(w.file.Close())
	if w.failed != nil {
		return fmt.Errorf("writing event log: %w", w.failed)
	}
	return nil
}
