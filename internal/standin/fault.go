package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// FaultKind names one misbehaviour of a replica.
type FaultKind string

const (
	// FaultCrash ends the replica in the middle of the request.
	FaultCrash FaultKind = "crash"
	// FaultStall sends nothing more for the delay, or for ever without one.
	FaultStall FaultKind = "stall"
	// FaultBreakMidEvent aborts the connection inside an event or body.
	FaultBreakMidEvent FaultKind = "break_mid_event"
	// FaultBreakBetweenEvents aborts the connection after a whole event.
	FaultBreakBetweenEvents FaultKind = "break_between_events"
	// FaultBreakBeforeEnd aborts a stream after its last piece.
	FaultBreakBeforeEnd FaultKind = "break_before_end"
	// FaultTruncate ends the HTTP answer cleanly though it is not whole.
	FaultTruncate FaultKind = "truncate"
	// FaultLate answers after the delay.
	FaultLate FaultKind = "late"
	// FaultCrossed swaps the answers of two concurrent requests.
	FaultCrossed FaultKind = "crossed"
	// FaultWrongID answers with a request id that nobody sent.
	FaultWrongID FaultKind = "wrong_id"
	// FaultShortBody announces a longer body than it sends; whole answers only.
	FaultShortBody FaultKind = "short_body"
	// FaultErrorInSuccess puts an error into an answer with status 200.
	FaultErrorInSuccess FaultKind = "error_in_success"
	// FaultError answers status 500 after the delay; the request has run.
	FaultError FaultKind = "error"
	// FaultSkipPiece leaves a piece of a stream out; streams only.
	FaultSkipPiece FaultKind = "skip_piece"
	// FaultRepeatPiece sends a piece of a stream twice; streams only.
	FaultRepeatPiece FaultKind = "repeat_piece"
	// FaultRefuse refuses the request before it runs.
	FaultRefuse FaultKind = "refuse"
	// FaultClear removes all faults.
	FaultClear FaultKind = "clear"
)

// streamFaults and wholeFaults list the kinds that fit one form of answer alone.
var (
	streamFaults = []FaultKind{FaultBreakBetweenEvents, FaultBreakBeforeEnd, FaultSkipPiece, FaultRepeatPiece}
	wholeFaults  = []FaultKind{FaultShortBody}
	anyFaults    = []FaultKind{
		FaultCrash, FaultStall, FaultBreakMidEvent, FaultTruncate, FaultLate, FaultCrossed,
		FaultWrongID, FaultErrorInSuccess, FaultError, FaultRefuse, FaultClear,
	}
)

// crossWait bounds how long a crossed answer waits for a second one when the
// fault gives no delay.
const crossWait = 2 * time.Second

// Fault is the body of POST /control/fault. With neither a count nor a
// probability it hits the next fitting request.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is the number of requests to hit; 0 with a probability is no bound.
	Count int `json:"count,omitempty"`
	// Probability is the chance of each fitting request, 0 to 1; 0 is certain.
	Probability float64 `json:"probability,omitempty"`
	// AfterEvents is the number of pieces of a stream sent before the effect.
	AfterEvents int `json:"after_events,omitempty"`
	// DelayMS is the delay of the effect in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Validate reports the first field that is out of range.
func (f Fault) Validate() error {
	known := slices.Contains(anyFaults, f.Kind) || slices.Contains(streamFaults, f.Kind) || slices.Contains(wholeFaults, f.Kind)
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

// fits reports whether the fault can show in an answer of the form.
func (f Fault) fits(stream bool) bool {
	if stream {
		return !slices.Contains(wholeFaults, f.Kind)
	}
	return !slices.Contains(streamFaults, f.Kind)
}

// faultSet holds the faults that a replica was told.
type faultSet struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults []Fault
}

// add takes a fault in, or removes all for FaultClear.
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

// take picks the fault for one request. Refusals are picked apart, since they
// come before the request runs.
func (s *faultSet) take(stream, refusal bool) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for index, fault := range s.faults {
		if !fault.fits(stream) || (fault.Kind == FaultRefuse) != refusal {
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

// identity is what makes an answer somebody's.
type identity struct {
	request string
	run     string
	tokens  int
	cached  int
}

// crossing lets two requests swap their identities.
type crossing struct {
	mutex   sync.Mutex
	waiting *crossPartner
}

type crossPartner struct {
	own   identity
	other chan identity
}

// meet waits for another request and returns its identity, or reports false
// once the wait is over.
func (c *crossing) meet(ctx context.Context, own identity, wait time.Duration) (identity, bool) {
	c.mutex.Lock()
	if partner := c.waiting; partner != nil {
		c.waiting = nil
		partner.other <- own
		c.mutex.Unlock()
		return partner.own, true
	}
	partner := &crossPartner{own: own, other: make(chan identity, 1)}
	c.waiting = partner
	c.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case other := <-partner.other:
		return other, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.leave(partner)
}

// leave withdraws a partner, unless another request met it just now.
func (c *crossing) leave(partner *crossPartner) (identity, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == partner {
		c.waiting = nil
		return identity{}, false
	}
	return <-partner.other, true
}
