package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/routing"
)

// maxPolls bounds the concurrent polls that pollReplicas starts.
const maxPolls = 64

// pollReplicas polls the replicas of the region at each interval until ctx ends, and
// reports the changed conditions of those that this gateway is responsible for. A newly
// listed replica is polled at once.
func (g *Gateway) pollReplicas(ctx context.Context) {
	ticker := time.NewTicker(g.options.PollInterval)
	defer ticker.Stop()
	pollSlots := make(chan struct{}, maxPolls)
	var polls sync.WaitGroup
	defer polls.Wait()
	known := make(map[string]bool)
	for {
		// Get the channel before pollNewReplicas reads the active state. Otherwise an
		// activation in between would be missed.
		changed := g.agent.Activated()
		known = g.pollNewReplicas(ctx, known, pollSlots, &polls)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			known = g.pollNewReplicas(ctx, nil, pollSlots, &polls)
			g.reportConditions(ctx, time.Now(), &polls)
		}
	}
}

// pollNewReplicas starts polls of the region's listed replicas that are not in known. It
// returns the set of all listed replicas.
func (g *Gateway) pollNewReplicas(ctx context.Context, known map[string]bool, pollSlots chan struct{}, polls *sync.WaitGroup) map[string]bool {
	active := g.agent.Active()
	if active == nil {
		return known
	}
	listed := make(map[string]bool)
	for _, replica := range g.router.LocalReplicas() {
		if _, ok := active.Replicas()[replica]; !ok {
			continue // the router already has the state that is about to become active
		}
		listed[replica] = true
		if !known[replica] {
			g.startPoll(ctx, active, replica, pollSlots, polls)
		}
	}
	return listed
}

// startPoll polls a replica in the background. It does nothing if the replica is already
// being polled or no poll slot is free.
func (g *Gateway) startPoll(ctx context.Context, active *catalog.State, replica string, pollSlots chan struct{}, polls *sync.WaitGroup) {
	record, listed := active.Replicas()[replica]
	if !listed {
		return
	}
	select {
	case pollSlots <- struct{}{}:
	default:
		return
	}
	if !g.polling.begin(replica) {
		<-pollSlots
		return
	}
	polls.Go(func() {
		g.pollUntilCurrent(ctx, replica, record)
		<-pollSlots
	})
}

// pollUntilCurrent polls a replica, and once more for as long as another poll was
// requested during the last one.
func (g *Gateway) pollUntilCurrent(ctx context.Context, replica string, record catalog.Replica) {
	g.poll(ctx, replica, record)
	for g.polling.end(replica) {
		g.poll(ctx, replica, record)
	}
}

// pollNow polls a replica at once, in the background. If it is already being polled,
// another poll follows, because the replica may have produced the report in progress
// before the event that led to this call.
func (g *Gateway) pollNow(replica string) {
	record, listed := g.agent.Active().Replicas()[replica]
	if !listed || !g.polling.beginOrRepeat(replica) {
		return
	}
	g.activity.begin()
	go func() {
		defer g.activity.end()
		g.pollUntilCurrent(g.runContext, replica, record)
	}()
}

// suspectReplica makes the router send no new requests to the replica of a reservation
// until its next report, and polls it at once. It has no effect if the replica has
// reported another incarnation since the reservation was made.
func (g *Gateway) suspectReplica(reservation *routing.Reservation) {
	if g.router.RecordConnectionFailure(reservation.Replica, reservation.Incarnation, time.Now()) {
		g.pollNow(reservation.Replica)
	}
}

// poll requests the report of a replica and passes it to the router. A report with the
// name of another replica counts as a failure: the address was reassigned.
func (g *Gateway) poll(ctx context.Context, replica string, record catalog.Replica) {
	pollContext, cancel := context.WithTimeout(ctx, g.options.PollTimeout)
	defer cancel()
	report, err := g.replicas.report(pollContext, record.Address)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil || report.Replica != replica {
		g.metrics.polls.WithLabelValues("failed").Inc()
		g.router.RecordPollFailure(replica, now)
		return
	}
	g.metrics.polls.WithLabelValues("answered").Inc()
	g.router.RecordReport(replica, *report, now)
	g.recordObservedVersion(record.Service, report.ConfigurationVersion)
}

// pollTracker ensures that there is at most one poll of a replica at a time.
type pollTracker struct {
	mutex sync.Mutex
	// repeat has an entry for each replica that is being polled. The value is true if
	// another poll is to follow.
	repeat map[string]bool
}

func newPollTracker() *pollTracker { return &pollTracker{repeat: make(map[string]bool)} }

// begin marks the replica as being polled. It reports false if it already was.
func (p *pollTracker) begin(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, busy := p.repeat[name]; busy {
		return false
	}
	p.repeat[name] = false
	return true
}

// beginOrRepeat is like begin, but if the replica is already being polled, it requests
// another poll after the one in progress.
func (p *pollTracker) beginOrRepeat(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, busy := p.repeat[name]
	p.repeat[name] = busy
	return !busy
}

// end marks the end of a poll and reports whether another one must follow at once. If
// not, the replica is no longer marked as being polled.
func (p *pollTracker) end(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.repeat[name] {
		p.repeat[name] = false
		return true
	}
	delete(p.repeat, name)
	return false
}
