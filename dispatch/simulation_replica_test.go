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
	// simulatedEvents is the number of events in a stream, and simulatedGap the
	// pause between two.
	simulatedEvents = 5
	simulatedGap    = 8 * time.Millisecond
	// pageTime is the time that a request without a prompt takes.
	pageTime = 30 * time.Millisecond
	// longestQueue is the reading before a replica that refuses more.
	longestQueue = 4 * time.Second
	// dialRefused is the time to learn that nobody listens.
	dialRefused = time.Millisecond
)

var errSimulatedReset = errors.New("connection reset")

// simulatedReplica reads prompts one after another and streams then.
type simulatedReplica struct {
	fleet   *simulatedFleet
	id      string
	zone    string
	service string
	address string
	// slowness is its time to read over the usual one.
	slowness float64
	// enginePace is the pace of its service's engines against the reference.
	enginePace float64

	mutex     sync.Mutex
	readUntil time.Time
	heard     time.Time
	known     map[uint64]bool // shared parts that it holds
	dark      bool            // accepts and says nothing
	crashed   chan struct{}   // closed when it ends
}

func (f *simulatedFleet) addReplica(id, zone, service string) {
	f.place(&simulatedReplica{id: id, zone: zone, service: service, address: id + ":80", slowness: 1, enginePace: 0.5})
}

// place starts a replica at its address, in the place of one that was there.
func (f *simulatedFleet) place(r *simulatedReplica) {
	r.fleet = f
	r.known = make(map[uint64]bool)
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

// replicasOf lists the replicas of a service in a zone, of all zones if it is
// empty, by their names.
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

// crash ends a replica at once.
func (r *simulatedReplica) crash() {
	r.fleet.mutex.Lock()
	if r.fleet.replicas[r.address] == r {
		delete(r.fleet.replicas, r.address)
	}
	r.fleet.mutex.Unlock()
	close(r.crashed)
}

func (r *simulatedReplica) setDark(dark bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dark = dark
}

func (r *simulatedReplica) heardAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.heard
}

// accept queues an attempt's prompt and returns when it will be read; false is a
// full queue.
func (r *simulatedReplica) accept(attempt *Attempt) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if r.readUntil.Before(now) {
		r.readUntil = now
	}
	if r.readUntil.Sub(now) > longestQueue {
		return now, false
	}
	if r.service != "model" {
		return now.Add(pageTime), true
	}
	cached := 0.0
	for _, link := range attempt.Request.PrefixChain {
		if r.known[link.Hash] {
			cached = float64(link.Tokens)
		}
		r.known[link.Hash] = true
	}
	reading := r.slowness * (firstStart + r.enginePace*readingWork(attempt.Request.PromptTokens, cached))
	r.readUntil = r.readUntil.Add(time.Duration(reading * float64(time.Second)))
	return r.readUntil, true
}

// wait sleeps until a time, unless the replica ends or falls silent or the
// attempt is broken off.
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
	dark := r.dark
	if !dark {
		r.heard = time.Now()
	}
	r.mutex.Unlock()
	if !dark {
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
	answer, err := g.send(ctx, attempt)
	return answer, g.told(err)
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
		return fail(FailureReplaced, errors.New("another replica"))
	}
	try := attempt.Request.Header.Get(headerTry)
	g.fleet.record.arrived(try, r, g)
	read, room := r.accept(attempt)
	if !room {
		return fail(FailureRejected, errors.New("full"))
	}
	g.fleet.record.ran(try, r)
	if err := r.wait(ctx, read); err != nil {
		return fail(FailureIndeterminate, err)
	}
	return r.answer(ctx, attempt), nil
}

func (r *simulatedReplica) answer(ctx context.Context, attempt *Attempt) *Response {
	answer := &Response{Status: http.StatusOK, Header: http.Header{}}
	if r.service != "model" {
		answer.Body = io.NopCloser(strings.NewReader(pageText(attempt.Request.ID)))
		return answer
	}
	after, _ := strconv.Atoi(attempt.LastEventID) // 0 to begin
	answer.EventStream = true
	answer.Body = &simulatedStream{ctx: ctx, replica: r, request: attempt.Request.ID, next: after + 1}
	return answer
}

func pageText(request string) string { return "page of " + request }

func eventText(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, request, number)
}

// simulatedStream sends one event at each reading.
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

// makeCold starts the cold time of a replica: the list says so, and the checks
// hold it.
func (f *simulatedFleet) makeCold(r *simulatedReplica, cold bool) {
	state := catalog.ConditionUp
	if cold {
		state = catalog.ConditionWarmingUp
		f.record.cold(r)
	}
	f.change(registry.Add(catalog.ConditionRecord(r.id, catalog.Condition{State: state})))
}
