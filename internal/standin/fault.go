package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// FaultKind is the kind of a fault that can be injected into a replica.
type FaultKind string

const (
	// FaultCrash crashes the replica while the request runs.
	FaultCrash FaultKind = "crash"
	// FaultStall pauses the response for the delay or, if there is no delay, until the
	// caller closes the connection.
	FaultStall FaultKind = "stall"
	// FaultBreakMidEvent aborts the connection in the middle of an event or body.
	FaultBreakMidEvent FaultKind = "break_mid_event"
	// FaultBreakBetweenEvents aborts the connection after a complete event.
	FaultBreakBetweenEvents FaultKind = "break_between_events"
	// FaultBreakBeforeEnd aborts a stream after its last chunk, before its end event.
	FaultBreakBeforeEnd FaultKind = "break_before_end"
	// FaultTruncate ends an incomplete HTTP response as if it were complete.
	FaultTruncate FaultKind = "truncate"
	// FaultLate sends a correct response after the delay.
	FaultLate FaultKind = "late"
	// FaultCrossed swaps the identities of the responses to two concurrent requests.
	FaultCrossed FaultKind = "crossed"
	// FaultWrongID responds with the id of a request that does not exist.
	FaultWrongID FaultKind = "wrong_id"
	// FaultShortBody announces a longer body than it sends; JSON bodies only.
	FaultShortBody FaultKind = "short_body"
	// FaultErrorInSuccess sends an error in a response with status 200.
	FaultErrorInSuccess FaultKind = "error_in_success"
	// FaultError responds with status 500 after the delay, although the request has run.
	FaultError FaultKind = "error"
	// FaultSkipChunk omits a chunk of a stream; streams only.
	FaultSkipChunk FaultKind = "skip_piece"
	// FaultRepeatChunk sends a chunk of a stream twice; streams only.
	FaultRepeatChunk FaultKind = "repeat_piece"
	// FaultRefuse refuses the request before it runs.
	FaultRefuse FaultKind = "refuse"
	// FaultClear removes all injected faults.
	FaultClear FaultKind = "clear"
)

// Kinds of faults by the form of response that they apply to: streams only, JSON
// bodies only, or both.
var (
	streamOnlyFaults = []FaultKind{FaultBreakBetweenEvents, FaultBreakBeforeEnd, FaultSkipChunk, FaultRepeatChunk}
	jsonOnlyFaults   = []FaultKind{FaultShortBody}
	commonFaults     = []FaultKind{
		FaultCrash, FaultStall, FaultBreakMidEvent, FaultTruncate, FaultLate, FaultCrossed,
		FaultWrongID, FaultErrorInSuccess, FaultError, FaultRefuse, FaultClear,
	}
)

// swapTimeout is the maximum time that a response waits for another one to swap
// identities with, if the fault has no delay.
const swapTimeout = 2 * time.Second

// Fault is the body of POST /control/fault. Without a count and a probability it affects
// only the next request that it applies to.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is the number of requests to affect; 0 with a probability is unlimited.
	Count int `json:"count,omitempty"`
	// Probability is the probability that a request is affected, from 0 to 1; 0 selects
	// the default of 1.
	Probability float64 `json:"probability,omitempty"`
	// AfterEvents is the number of chunks of a stream sent before the fault.
	AfterEvents int `json:"after_events,omitempty"`
	// DelayMS is the delay of the fault in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Validate returns an error that names the first field with an invalid value.
func (f Fault) Validate() error {
	known := slices.Contains(commonFaults, f.Kind) || slices.Contains(streamOnlyFaults, f.Kind) || slices.Contains(jsonOnlyFaults, f.Kind)
	switch {
	case !known:
		return fmt.Errorf("kind: unknown fault %q", f.Kind)
	case f.Count < 0:
		return fmt.Errorf("count: must not be negative")
	case f.Probability < 0 || f.Probability > 1:
		return fmt.Errorf("probability: must be from 0 to 1")
	case f.AfterEvents < 0:
		return fmt.Errorf("after_events: must not be negative")
	case f.DelayMS < 0:
		return fmt.Errorf("delay_ms: must not be negative")
	}
	return nil
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// appliesTo reports whether the fault applies to a stream, or to a JSON body.
func (f Fault) appliesTo(stream bool) bool {
	if stream {
		return !slices.Contains(jsonOnlyFaults, f.Kind)
	}
	return !slices.Contains(streamOnlyFaults, f.Kind)
}

// faultSet holds the faults injected into a replica, in the order of injection.
type faultSet struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults []Fault
}

// add adds a fault, or removes all faults for FaultClear.
func (s *faultSet) add(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fault.Kind == FaultClear {
		s.faults = nil
		return
	}
	if fault.Count == 0 && fault.Probability == 0 {
		fault.Count = 1
	}
	s.faults = append(s.faults, fault)
}

// take returns the fault that affects a request, the zero Fault if there is none, and
// counts it as used. Refusals are taken by a separate call, because they happen before
// the request runs.
func (s *faultSet) take(stream, refusal bool) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for index, fault := range s.faults {
		if !fault.appliesTo(stream) || (fault.Kind == FaultRefuse) != refusal {
			continue
		}
		if fault.Probability > 0 && s.random.Float64() >= fault.Probability {
			continue
		}
		if fault.Count > 0 {
			s.faults[index].Count--
			if fault.Count == 1 {
				s.faults = slices.Delete(s.faults, index, index+1)
			}
		}
		return fault
	}
	return Fault{}
}
