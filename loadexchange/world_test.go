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

// world plays gateways in virtual time, without goroutines.
type world struct {
	t        *testing.T
	now      time.Time
	random   *rand.Rand
	events   eventQueue
	sequence int
	up       map[string]Gateway
	gateways map[string]*worldGateway
	replicas map[peer.ReplicaKey]string
	// placed is when prompts were given to replicas, by their readings, and ages are
	// how long news of them took to gateways of the region.
	placed map[int]time.Time
	ages   []time.Duration
	// cut says that messages between two gateways are lost.
	cut func(from, to string) bool
}

// worldGateway is one gateway of a world.
type worldGateway struct {
	world    *world
	name     string
	exchange *Exchange
	stepAt   time.Time
	frozen   bool
	waiting  []func() // what arrives while it is frozen
	// load is its own.
	load map[peer.ReplicaKey]peer.Load
	// sums is what it was told of others' loads, by source.
	sums map[string]map[peer.ReplicaKey]peer.Load
	// heard is when readings of others came to be known, by replica.
	heard map[string][]time.Time
	// sent and got count messages, gotBytes and sentBytes what they held, and largest
	// is the largest one sent.
	sent, got, gotBytes, sentBytes, largest int
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

// Delays of messages within a region and between regions.
const (
	nearDelay = 1400 * time.Microsecond
	farDelay  = 35 * time.Millisecond
)

// newWorld makes so many gateways in each region.
func newWorld(t *testing.T, seed uint64, regions map[string]int) *world {
	t.Helper()
	w := &world{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		up: make(map[string]Gateway), gateways: make(map[string]*worldGateway), replicas: make(map[peer.ReplicaKey]string),
		placed: make(map[int]time.Time),
		cut:    func(string, string) bool { return false },
	}
	for region, count := range regions {
		for i := range count {
			name := fmt.Sprintf("%s-%03d", region, i)
			w.up[name] = Gateway{Region: region, Address: name}
			g := &worldGateway{world: w, name: name, load: map[peer.ReplicaKey]peer.Load{}, sums: map[string]map[peer.ReplicaKey]peer.Load{}, heard: map[string][]time.Time{}}
			g.exchange = New(name, region, g)
			w.gateways[name] = g
		}
	}
	for _, g := range w.gateways {
		g.exchange.SetGateways(w.up)
		w.at(time.Duration(w.random.IntN(100))*time.Millisecond, g.step)
	}
	return w
}

// Loads implements Loads.
func (g *worldGateway) Loads() map[peer.ReplicaKey]peer.Load { return g.load }

// RegionOf implements Loads: a replica's name begins with its region.
func (g *worldGateway) RegionOf(replica peer.ReplicaKey) string {
	return g.world.replicas[replica][:len("north")]
}

// key is the key of a replica that is made by being named.
func (w *world) key(replica string) peer.ReplicaKey {
	w.replicas[peer.NewReplicaKey(replica)] = replica
	return peer.NewReplicaKey(replica)
}

// at runs something after a delay.
func (w *world) at(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(delay), sequence: w.sequence, run: run})
}

// run plays on for a time.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event) //nolint:forcetypeassert // the heap holds events only
		w.now = next.at
		next.run()
	}
	w.now = end
}

// step steps the gateway's exchange and plans the next step.
func (g *worldGateway) step() {
	if g.frozen {
		g.waiting = append(g.waiting, g.step)
		return
	}
	effects, next := g.exchange.Step(g.world.now)
	g.carryOut(effects)
	g.stepAt = next
	g.world.at(max(next.Sub(g.world.now), leastPause), func() {
		if g.stepAt.Equal(next) {
			g.step()
		}
	})
}

func (g *worldGateway) carryOut(effects Effects) {
	for _, message := range effects.Outgoing {
		g.send(message)
	}
	for _, part := range effects.Observed {
		if part.Complete {
			g.sums[part.Aggregator] = part.Loads
		}
		for _, added := range part.PrefillTotals {
			g.hear(added.Replica)
		}
		for _, placed := range part.PlacedPrompts {
			if placed.Gateway == peer.NewReplicaKey(g.name) {
				g.world.t.Errorf("%s hears of its own prompt", g.name)
			}
			g.hear(placed.Replica)
			if part.Region == g.world.up[g.name].Region {
				g.world.ages = append(g.world.ages, g.world.now.Sub(g.world.placed[placed.PrefillMS]))
			}
		}
	}
}

func (g *worldGateway) hear(replica peer.ReplicaKey) {
	name := g.world.replicas[replica]
	g.heard[name] = append(g.heard[name], g.world.now)
}

// send brings a message to another gateway as the network does, encoded.
func (g *worldGateway) send(message Outgoing) {
	g.sent++
	to := g.world.gateways[message.Address]
	if g.world.cut(g.name, message.Address) {
		return
	}
	delay := nearDelay
	if g.world.up[g.name].Region != g.world.up[message.Address].Region {
		delay = farDelay
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		g.world.t.Fatal(err)
	}
	g.sentBytes += len(encoded)
	g.largest = max(g.largest, len(encoded))
	g.world.at(delay, func() { to.receive(encoded) })
}

func (g *worldGateway) receive(encoded []byte) {
	if g.frozen {
		g.waiting = append(g.waiting, func() { g.receive(encoded) })
		return
	}
	var message Outgoing
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		g.world.t.Fatal(err)
	}
	g.got++
	g.gotBytes += len(encoded)
	if message.Report != nil {
		g.exchange.HandleReport(g.world.now, message.Report)
		g.step()
		return
	}
	effects := g.exchange.HandleDigest(g.world.now, message.Digest)
	g.carryOut(effects)
	if effects.Reschedule {
		g.step()
	}
}

// place gives a prompt to a replica, as the dispatcher does.
func (g *worldGateway) place(replica string, readingMS int) {
	g.world.placed[readingMS] = g.world.now
	g.exchange.RecordPlacement(peer.PlacedPrompt{Replica: g.world.key(replica), PrefillMS: readingMS})
	g.step()
}

func (g *worldGateway) thaw() {
	g.frozen = false
	waiting := g.waiting
	g.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// aggregator is the gateway that most of a region's gateways report to.
func (w *world) aggregator(region string) *worldGateway {
	votes := make(map[string]int)
	chosen := ""
	for name, g := range w.gateways {
		if w.up[name].Region == region {
			votes[g.exchange.own.aggregator]++
		}
	}
	for name, count := range votes {
		if chosen == "" || count > votes[chosen] {
			chosen = name
		}
	}
	return w.gateways[chosen]
}

// other is a gateway of the region that does not aggregate and is none of some.
func (w *world) other(region string, except ...*worldGateway) *worldGateway {
	for i := range len(w.gateways) {
		g := w.gateways[fmt.Sprintf("%s-%03d", region, i)]
		if g != nil && g != w.aggregator(region) && !slices.Contains(except, g) {
			return g
		}
	}
	w.t.Fatalf("no other gateway in %s", region)
	return nil
}
