package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// simulatedEvents is the number of events in a stream, and simulatedGap is the time
	// between two of them.
	simulatedEvents = 5
	simulatedGap    = 8 * time.Millisecond
	// pageTime is the processing time of a request without a prompt.
	pageTime = 30 * time.Millisecond
	// maxQueuedPrefill is the amount of queued prefill above which a replica rejects
	// requests.
	maxQueuedPrefill = 4 * time.Second
	// dialRefused is the time that it takes until a connection is refused.
	dialRefused = time.Millisecond
)

var errSimulatedReset = errors.New("connection reset")

// simulatedReplica prefills prompts one after another and then streams its responses.
type simulatedReplica struct {
	fleet   *simulatedFleet
	id      string
	zone    string
	service string
	address string
	// slowdown is its prefill time as a ratio of that of its service.
	slowdown float64
	// prefillFactor is the prefill time of its service as a ratio of that of the reference
	// replica.
	prefillFactor float64

	mutex        sync.Mutex
	prefillEnd   time.Time
	received     time.Time
	cached       map[uint64]bool // shared prefixes in its cache
	unresponsive bool            // accepts attempts but sends nothing
	crashed      chan struct{}   // closed when the replica crashes
}

func (f *simulatedFleet) addReplica(id, zone, service string) {
	f.place(&simulatedReplica{id: id, zone: zone, service: service, address: id + ":80", slowdown: 1, prefillFactor: 0.5})
}

// place starts a replica at its address and adds it to the registry. It replaces any other
// replica at this address.
func (f *simulatedFleet) place(r *simulatedReplica) {
	r.fleet = f
	r.cached = make(map[uint64]bool)
	r.crashed = make(chan struct{})
	f.mutex.Lock()
	f.replicas[r.address] = r
	f.mutex.Unlock()
	f.change(registry.Add(catalog.ReplicaRecord(r.id, catalog.Replica{Service: r.service, Zone: r.zone, Region: simulatedZones[r.zone], Address: r.address})))
}

func (f *simulatedFleet) replicaAt(address string) *simulatedReplica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replicas[address]
}

// replicasOf returns the replicas of a service in a zone, or in all zones if it is empty,
// sorted by id.
func (f *simulatedFleet) replicasOf(service, zone string) []*simulatedReplica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*simulatedReplica
	for _, r := range f.replicas {
		if r.service == service && (zone == "" || r.zone == zone) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *simulatedReplica) int { return cmp.Compare(a.id, b.id) })
	return list
}

// crash stops a replica immediately.
func (r *simulatedReplica) crash() {
	r.fleet.mutex.Lock()
	if r.fleet.replicas[r.address] == r {
		delete(r.fleet.replicas, r.address)
	}
	r.fleet.mutex.Unlock()
	close(r.crashed)
}

func (r *simulatedReplica) setUnresponsive(unresponsive bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unresponsive = unresponsive
}

func (r *simulatedReplica) lastReceived() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.received
}

// accept queues the prompt of an attempt. It returns the time at which the prompt will be
// prefilled, and false if the queue is full.
func (r *simulatedReplica) accept(attempt *Attempt) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if r.prefillEnd.Before(now) {
		r.prefillEnd = now
	}
	if r.prefillEnd.Sub(now) > maxQueuedPrefill {
		return now, false
	}
	if r.service != "model" {
		return now.Add(pageTime), true
	}
	cached := 0.0
	for _, link := range attempt.Request.PrefixChain {
		if r.cached[link.Hash] {
			cached = float64(link.Tokens)
		}
		r.cached[link.Hash] = true
	}
	prefill := r.slowdown * (initialOverhead + r.prefillFactor*prefillWork(attempt.Request.PromptTokens, cached))
	r.prefillEnd = r.prefillEnd.Add(time.Duration(prefill * float64(time.Second)))
	return r.prefillEnd, true
}

// wait sleeps until the given time. It returns an error early if the replica crashes or the
// attempt is aborted. If the replica is unresponsive, it waits until one of these happens.
func (r *simulatedReplica) wait(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.crashed:
		return errSimulatedReset
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mutex.Lock()
	unresponsive := r.unresponsive
	if !unresponsive {
		r.received = time.Now()
	}
	r.mutex.Unlock()
	if !unresponsive {
		return nil
	}
	select {
	case <-r.crashed:
		return errSimulatedReset
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send implements Backend.
func (g *simulatedGateway) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	response, err := g.send(ctx, attempt)
	return response, g.reported(err)
}

func (g *simulatedGateway) send(ctx context.Context, attempt *Attempt) (*Response, error) {
	fail := func(failure FailureReason, err error) (*Response, error) {
		return nil, &AttemptError{Reason: failure, Err: err}
	}
	r := g.fleet.replicaAt(attempt.Replica.Address)
	if r == nil {
		time.Sleep(dialRefused)
		return fail(FailureUnsent, errSimulatedReset)
	}
	time.Sleep(delayBetween(g.zone, r.zone))
	if ctx.Err() != nil {
		return fail(FailureIndeterminate, ctx.Err())
	}
	if r.id != attempt.Replica.ID {
		return fail(FailureReplaced, errors.New("another replica has the address"))
	}
	name := attempt.Request.Header.Get(headerAttempt)
	g.fleet.record.arrived(name, r, g)
	prefilled, accepted := r.accept(attempt)
	if !accepted {
		return fail(FailureRejected, errors.New("prefill queue is full"))
	}
	g.fleet.record.ran(name, r)
	if err := r.wait(ctx, prefilled); err != nil {
		return fail(FailureIndeterminate, err)
	}
	return r.response(ctx, attempt), nil
}

func (r *simulatedReplica) response(ctx context.Context, attempt *Attempt) *Response {
	response := &Response{Status: http.StatusOK, Header: http.Header{}}
	if r.service != "model" {
		response.Body = io.NopCloser(strings.NewReader(pageText(attempt.Request.ID)))
		return response
	}
	after, _ := strconv.Atoi(attempt.LastEventID) // 0 to start from the beginning
	response.EventStream = true
	response.Body = &simulatedStream{ctx: ctx, replica: r, request: attempt.Request.ID, next: after + 1}
	return response
}

func pageText(request string) string { return "page of " + request }

func eventText(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, request, number)
}

// simulatedStream returns one event with each Read.
type simulatedStream struct {
	ctx     context.Context //nolint:containedctx // of the request: Read of an io.Reader takes none
	replica *simulatedReplica
	request string
	next    int
	rest    []byte
}

func (s *simulatedStream) Read(buffer []byte) (int, error) {
	if len(s.rest) == 0 {
		if s.next > simulatedEvents {
			return 0, io.EOF
		}
		if err := s.replica.wait(s.ctx, time.Now().Add(simulatedGap)); err != nil {
			return 0, err
		}
		s.rest = []byte(eventText(s.request, s.next))
		s.next++
	}
	count := copy(buffer, s.rest)
	s.rest = s.rest[count:]
	return count, nil
}

func (s *simulatedStream) Close() error { return nil }

// setWarmingUp publishes whether a replica is warming up, and records the start of the
// warm-up for the checks.
func (f *simulatedFleet) setWarmingUp(r *simulatedReplica, warmingUp bool) {
	state := catalog.ConditionUp
	if warmingUp {
		state = catalog.ConditionWarmingUp
		f.record.warmingUp(r)
	}
	f.change(registry.Add(catalog.ConditionRecord(r.id, catalog.Condition{State: state})))
}
