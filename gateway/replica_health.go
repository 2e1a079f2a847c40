package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/routing"
)

// maxPolls bounds the polls in progress at the same time.
const maxPolls = 64

// pollReplicas polls the replicas of the region until ctx ends, and reports changes
// of the condition of those that this gateway is responsible for. A replica that was
// just listed is polled at once.
func (g *Gateway) pollReplicas(ctx context.Context) {
	ticker := time.NewTicker(g.options.PollInterval)
	defer ticker.Stop()
	pollSlots := make(chan struct{}, maxPolls)
	var polls sync.WaitGroup
	defer polls.Wait()
	known := make(map[string]bool)
	for {
		// Read before the active state, so that no activation is missed.
		changed := g.agent.Changed()
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

// pollNewReplicas polls the listed replicas of the region that are not known yet, and
// returns all that are listed.
func (g *Gateway) pollNewReplicas(ctx context.Context, known map[string]bool, pollSlots chan struct{}, polls *sync.WaitGroup) map[string]bool {
	active := g.agent.Active()
	if active == nil {
		return known
	}
	listed := make(map[string]bool)
	for _, replica := range g.router.Watched() {
		if _, ok := active.Replicas()[replica]; !ok {
			continue // the router has the next activation already
		}
		listed[replica] = true
		if !known[replica] {
			g.startPoll(ctx, active, replica, pollSlots, polls)
		}
	}
	return listed
}

// startPoll polls a replica in the background, unless it is being polled or too many
// are.
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

// pollUntilCurrent polls a replica, and again if that was requested meanwhile.
func (g *Gateway) pollUntilCurrent(ctx context.Context, replica string, record catalog.Replica) {
	g.poll(ctx, replica, record)
	for g.polling.end(replica) {
		g.poll(ctx, replica, record)
	}
}

// pollNow polls a replica out of turn. One that is being polled is polled once more,
// since the report under way may have been made before the event.
func (g *Gateway) pollNow(replica string) {
	record, listed := g.agent.Active().Replicas()[replica]
	if !listed || !g.polling.beginOrRepeat(replica) {
		return
	}
	g.active.begin()
	go func() {
		defer g.active.end()
		g.pollUntilCurrent(g.runContext, replica, record)
	}()
}

// suspectReplica stops new requests to the replica of a reservation until its next
// report, and polls it at once. A replica that has reported another incarnation since
// is not affected.
func (g *Gateway) suspectReplica(reservation *routing.Reservation) {
	if g.router.Suspect(reservation.Replica, reservation.Incarnation, time.Now()) {
		g.pollNow(reservation.Replica)
	}
}

// poll fetches the report of one replica. A report in the name of another replica is
// a failure: the address was reassigned.
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
	g.router.Observe(replica, *report, now)
	g.recordVersion(record.Service, report.ConfigurationVersion)
}

// pollTracker ensures that there is one poll of a replica at a time.
type pollTracker struct {
	mutex sync.Mutex
	// repeat has an entry for each replica that is being polled; it is true if another
	// poll is to follow.
	repeat map[string]bool
}

func newPollTracker() *pollTracker { return &pollTracker{repeat: make(map[string]bool)} }

// begin reports whether the replica was not being polled and now is.
func (p *pollTracker) begin(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, busy := p.repeat[name]; busy {
		return false
	}
	p.repeat[name] = false
	return true
}

// beginOrRepeat is begin, but has another poll follow the one in progress.
func (p *pollTracker) beginOrRepeat(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, busy := p.repeat[name]
	p.repeat[name] = busy
	return !busy
}

// end reports whether another poll is to follow at once. If not, the replica is no
// longer being polled.
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
