package loadexchange

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/peer"
)

// simulation runs the exchanges of several gateways in virtual time, without goroutines.
type simulation struct {
	t        *testing.T
	now      time.Time
	random   *rand.Rand
	events   eventQueue
	sequence int
	up       map[string]Gateway
	gateways map[string]*simulatedGateway
	replicas map[peer.ReplicaKey]string
	// placed holds when prompts were placed, by their prefill time in milliseconds. delays
	// holds how long updates about them took to reach other gateways of the region.
	placed map[int]time.Time
	delays []time.Duration
	// partitioned reports whether messages from one gateway to another are lost.
	partitioned func(from, to string) bool
}

// simulatedGateway is a gateway in a simulation.
type simulatedGateway struct {
	simulation *simulation
	name       string
	exchange   *Exchange
	stepAt     time.Time
	paused     bool
	deferred   []func() // steps and received messages to process when it resumes
	// load is the gateway's own load by replica.
	load map[peer.ReplicaKey]peer.Load
	// sums holds the newest sums of the loads of others, by aggregator.
	sums map[string]map[peer.ReplicaKey]peer.Load
	// observed holds the times at which prompts of other gateways were observed, by replica.
	observed map[string][]time.Time
	// sent and received count messages, sentBytes and receivedBytes are their encoded sizes,
	// and largest is the encoded size of the largest message sent.
	sent, received, receivedBytes, sentBytes, largest int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(value any) {
	*q = append(*q, value.(event)) //nolint:forcetypeassert // heap.Push is called with events only
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Network delays of messages within a region and between regions.
const (
	intraRegionDelay = 1400 * time.Microsecond
	crossRegionDelay = 35 * time.Millisecond
)

// newSimulation returns a simulation with the given number of gateways in each region.
func newSimulation(t *testing.T, seed uint64, regions map[string]int) *simulation {
	t.Helper()
	s := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		up: make(map[string]Gateway), gateways: make(map[string]*simulatedGateway), replicas: make(map[peer.ReplicaKey]string),
		placed:      make(map[int]time.Time),
		partitioned: func(string, string) bool { return false },
	}
	for region, count := range regions {
		for i := range count {
			name := fmt.Sprintf("%s-%03d", region, i)
			s.up[name] = Gateway{Region: region, Address: name}
			g := &simulatedGateway{simulation: s, name: name, load: map[peer.ReplicaKey]peer.Load{}, sums: map[string]map[peer.ReplicaKey]peer.Load{}, observed: map[string][]time.Time{}}
			g.exchange = New(name, region, g)
			s.gateways[name] = g
		}
	}
	for _, g := range s.gateways {
		g.exchange.SetGateways(s.up)
		s.at(time.Duration(s.random.IntN(100))*time.Millisecond, g.step)
	}
	return s
}

// Loads implements LoadSource.
func (g *simulatedGateway) Loads() map[peer.ReplicaKey]peer.Load { return g.load }

// RegionOf implements LoadSource: a replica's name begins with the name of its region,
// which has five letters.
func (g *simulatedGateway) RegionOf(replica peer.ReplicaKey) string {
	return g.simulation.replicas[replica][:len("north")]
}

// key returns the key of a replica, and adds the replica to the simulation.
func (s *simulation) key(replica string) peer.ReplicaKey {
	s.replicas[peer.NewReplicaKey(replica)] = replica
	return peer.NewReplicaKey(replica)
}

// at schedules an event after a delay.
func (s *simulation) at(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(delay), sequence: s.sequence, run: run})
}

// run runs the events of a period of virtual time.
func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event) //nolint:forcetypeassert // the heap holds events only
		s.now = next.at
		next.run()
	}
	s.now = end
}

// step runs a step of the gateway's exchange and schedules the next one.
func (g *simulatedGateway) step() {
	if g.paused {
		g.deferred = append(g.deferred, g.step)
		return
	}
	effects, next := g.exchange.Step(g.simulation.now)
	g.carryOut(effects)
	g.stepAt = next
	g.simulation.at(max(next.Sub(g.simulation.now), minStepInterval), func() {
		if g.stepAt.Equal(next) {
			g.step()
		}
	})
}

// carryOut sends the messages and records the observed loads and updates.
func (g *simulatedGateway) carryOut(effects Effects) {
	for _, message := range effects.Outgoing {
		g.send(message)
	}
	for _, part := range effects.Observed {
		if part.Complete {
			g.sums[part.Aggregator] = part.Loads
		}
		for _, total := range part.PrefillTotals {
			g.observe(total.Replica)
		}
		for _, placed := range part.PlacedPrompts {
			if placed.Gateway == peer.NewReplicaKey(g.name) {
				g.simulation.t.Errorf("gateway %s observed its own prompt", g.name)
			}
			g.observe(placed.Replica)
			if part.Region == g.simulation.up[g.name].Region {
				g.simulation.delays = append(g.simulation.delays, g.simulation.now.Sub(g.simulation.placed[placed.PrefillMS]))
			}
		}
	}
}

// observe records that a prompt, or a total, at a replica was observed now.
func (g *simulatedGateway) observe(replica peer.ReplicaKey) {
	name := g.simulation.replicas[replica]
	g.observed[name] = append(g.observed[name], g.simulation.now)
}

// send encodes a message and delivers it to another gateway after the network delay.
func (g *simulatedGateway) send(message Outgoing) {
	g.sent++
	to := g.simulation.gateways[message.Address]
	if g.simulation.partitioned(g.name, message.Address) {
		return
	}
	delay := intraRegionDelay
	if g.simulation.up[g.name].Region != g.simulation.up[message.Address].Region {
		delay = crossRegionDelay
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		g.simulation.t.Fatal(err)
	}
	g.sentBytes += len(encoded)
	g.largest = max(g.largest, len(encoded))
	g.simulation.at(delay, func() { to.receive(encoded) })
}

// receive decodes and processes a message, or defers it while the gateway is paused.
func (g *simulatedGateway) receive(encoded []byte) {
	if g.paused {
		g.deferred = append(g.deferred, func() { g.receive(encoded) })
		return
	}
	var message Outgoing
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		g.simulation.t.Fatal(err)
	}
	g.received++
	g.receivedBytes += len(encoded)
	if message.Report != nil {
		g.exchange.HandleReport(g.simulation.now, message.Report)
		g.step()
		return
	}
	effects := g.exchange.HandleDigest(g.simulation.now, message.Digest)
	g.carryOut(effects)
	if effects.Reschedule {
		g.step()
	}
}

// place records that the gateway placed a prompt at a replica, and performs a step.
func (g *simulatedGateway) place(replica string, prefillMS int) {
	g.simulation.placed[prefillMS] = g.simulation.now
	g.exchange.RecordPlacement(peer.PlacedPrompt{Replica: g.simulation.key(replica), PrefillMS: prefillMS})
	g.step()
}

// resume ends a pause and processes what was deferred during it.
func (g *simulatedGateway) resume() {
	g.paused = false
	deferred := g.deferred
	g.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// aggregator returns the gateway that most of a region's gateways report to.
func (s *simulation) aggregator(region string) *simulatedGateway {
	votes := make(map[string]int)
	chosen := ""
	for name, g := range s.gateways {
		if s.up[name].Region == region {
			votes[g.exchange.reporter.aggregator]++
		}
	}
	for name, count := range votes {
		if chosen == "" || count > votes[chosen] {
			chosen = name
		}
	}
	return s.gateways[chosen]
}

// nonAggregator returns a gateway of the region that is neither its aggregator nor one of
// the exceptions.
func (s *simulation) nonAggregator(region string, except ...*simulatedGateway) *simulatedGateway {
	for i := range len(s.gateways) {
		g := s.gateways[fmt.Sprintf("%s-%03d", region, i)]
		if g != nil && g != s.aggregator(region) && !slices.Contains(except, g) {
			return g
		}
	}
	s.t.Fatalf("region %s has no gateway besides the aggregator and the exceptions", region)
	return nil
}
