package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routing"
)

// Bounds of watching and gossip.
const (
	// maxPolls bounds the polls in progress at once.
	maxPolls = 64
	// conditionPause is the least time between two updates about one replica.
	conditionPause   = time.Second
	conditionTimeout = 5 * time.Second
	gossipInterval   = time.Second
	// gossipPeers bounds the gateways that hear a digest each time.
	gossipPeers = 8
	// requestorGateway begins the requestor of a gateway's updates.
	requestorGateway = "gateway:"
)

// watch polls the replicas of the region and reports slow changes of those that
// are this gateway's to watch.
func (g *Gateway) watch(ctx context.Context) {
	ticker := time.NewTicker(g.options.PollInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxPolls)
	var polls sync.WaitGroup
	defer polls.Wait()
	known := make(map[string]bool)
	for {
		// Asked for before the look at what is active, so that no change is missed.
		changed := g.agent.Changed()
		known = g.pollListed(ctx, known, slots, &polls)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			known = g.pollListed(ctx, nil, slots, &polls)
			g.reportConditions(ctx, time.Now(), &polls)
		}
	}
}

// pollListed polls the listed replicas of the region that are not known yet, so
// that one that was just listed is not kept waiting. It returns all that are.
func (g *Gateway) pollListed(ctx context.Context, known map[string]bool, slots chan struct{}, polls *sync.WaitGroup) map[string]bool {
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
			g.startPoll(ctx, active, replica, slots, polls)
		}
	}
	return listed
}

// inProgress keeps the polls of one replica from overtaking each other.
type inProgress struct {
	mutex sync.Mutex
	names map[string]bool // true if another poll is to follow
}

func newInProgress() *inProgress { return &inProgress{names: make(map[string]bool)} }

func (p *inProgress) enter(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, busy := p.names[name]; busy {
		return false
	}
	p.names[name] = false
	return true
}

// enterOrRepeat is enter, but has another poll follow the one in progress.
func (p *inProgress) enterOrRepeat(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, busy := p.names[name]
	p.names[name] = busy
	return !busy
}

// leave reports whether another poll is to follow at once; the place is then kept.
func (p *inProgress) leave(name string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.names[name] {
		p.names[name] = false
		return true
	}
	delete(p.names, name)
	return false
}

func (g *Gateway) startPoll(ctx context.Context, active *catalog.State, replica string, slots chan struct{}, polls *sync.WaitGroup) {
	record, listed := active.Replicas()[replica]
	if !listed {
		return
	}
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	if !g.polling.enter(replica) {
		<-slots
		return
	}
	polls.Go(func() {
		g.pollEntered(ctx, replica, record)
		<-slots
	})
}

// pollEntered polls a replica, and again as long as that is asked for meanwhile.
func (g *Gateway) pollEntered(ctx context.Context, replica string, record catalog.Replica) {
	g.poll(ctx, replica, record)
	for g.polling.leave(replica) {
		g.poll(ctx, replica, record)
	}
}

// pollNow polls one replica out of turn; if it is being polled, once more after
// that, since the answer under way may tell of before.
func (g *Gateway) pollNow(replica string) {
	record, listed := g.agent.Active().Replicas()[replica]
	if !listed || !g.polling.enterOrRepeat(replica) {
		return
	}
	g.running.begin()
	go func() {
		defer g.running.end()
		g.pollEntered(g.work, replica, record)
	}()
}

// suspect stops new requests to the replica of a slot until it has reported, and
// has it polled at once. One that has reported another incarnation than the
// slot's goes on.
func (g *Gateway) suspect(slot *routing.Reservation) {
	if g.router.Suspect(slot.Replica, slot.Incarnation, time.Now()) {
		g.pollNow(slot.Replica)
	}
}

// poll asks one replica for its report. An answer in the name of another replica
// is a failure: the address has changed hands.
func (g *Gateway) poll(ctx context.Context, replica string, record catalog.Replica) {
	asking, cancel := context.WithTimeout(ctx, g.options.PollTimeout)
	defer cancel()
	report, err := g.replicas.report(asking, record.Address)
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
	g.noteVersion(record.Service, report.ConfigurationVersion)
}

// reportConditions sends the slow changes toward the primary as conditional
// updates. A lost one is derived again from what is seen.
func (g *Gateway) reportConditions(ctx context.Context, now time.Time, updates *sync.WaitGroup) {
	if !g.agent.Valid() {
		return
	}
	for _, change := range g.router.Conditions(now) {
		if !g.mayReport(change.Replica, now) {
			continue
		}
		updates.Go(func() { g.sendCondition(ctx, change) })
	}
}

func (g *Gateway) mayReport(replica string, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.reported[replica]) < conditionPause {
		return false
	}
	for name, at := range g.reported {
		if now.Sub(at) >= conditionPause {
			delete(g.reported, name)
		}
	}
	g.reported[replica] = now
	return true
}

func (g *Gateway) sendCondition(ctx context.Context, change routing.ConditionChange) {
	sending, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	reply, err := g.agent.Update(sending, g.conditionUpdate(change))
	if err != nil {
		g.metrics.updates.WithLabelValues("lost").Inc()
		g.log.Warn("condition not reported", "replica", change.Replica, "error", err)
		return
	}
	g.metrics.updates.WithLabelValues(reply.Code.String()).Inc()
	g.log.Info("condition reported", "replica", change.Replica, "state", change.New.State, "code", reply.Code.String(), "serial", reply.Serial)
}

// conditionUpdate replaces the condition that the change was derived from, if it
// still holds and the replica is still listed.
func (g *Gateway) conditionUpdate(change routing.ConditionChange) registry.Update {
	name := catalog.ReplicaName(change.Replica)
	prerequisites := []registry.Record{registry.Exists(name, catalog.TypeReplica)}
	if change.Old == nil {
		prerequisites = append(prerequisites, registry.Absent(name, catalog.TypeCondition))
	} else {
		prerequisites = append(prerequisites, registry.Equals(catalog.ConditionRecord(change.Replica, *change.Old)))
	}
	changes := []registry.Record{registry.Add(catalog.ConditionRecord(change.Replica, change.New))}
	update := registry.NewUpdate(catalog.Apex, prerequisites, changes)
	update.Requestor = requestorGateway + g.options.Info.Name
	return update
}

// gossip tells gateways of other regions how loaded this one is. Each time a
// bounded number of them, chosen by chance, hears it.
func (g *Gateway) gossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	digest := peer.RegionUtilization{Region: g.region(), Gateway: g.options.Info.Name}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !g.agent.Valid() || g.draining.Load() {
			continue
		}
		digest.Sequence++
		digest.UtilizationByService = g.router.Load()
		for _, address := range g.otherRegions(gossipPeers) {
			g.options.Network.Send(address, peer.KindRegionUtilization, &digest)
		}
	}
}

// otherRegions returns peers' addresses of gateways of other regions, those of
// regions that may spill into this one first.
func (g *Gateway) otherRegions(limit int) []string {
	active := g.agent.Active()
	if active == nil {
		return nil
	}
	regions := active.Regions()
	var addresses, rest []string
	for _, member := range active.Gateways() {
		switch {
		case member.Region == g.region() || !member.Up:
		case slices.Contains(regions[member.Region].Spill, g.region()):
			addresses = append(addresses, member.PeerAddress)
		default:
			rest = append(rest, member.PeerAddress)
		}
	}
	g.shuffle(addresses)
	g.shuffle(rest)
	addresses = append(addresses, rest...)
	return addresses[:min(len(addresses), limit)]
}

func (g *Gateway) serveLoad(_ context.Context, _ string, decode func(any) error) (any, error) {
	var digest peer.RegionUtilization
	if err := decode(&digest); err != nil {
		return nil, err
	}
	if digest.Region != g.region() {
		g.router.SetRemoteLoad(digest.Region, digest.UtilizationByService, time.Now())
	}
	return nil, nil
}
