package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartGroup is a group of five members in three regions that restart after a loss of
// all power, each at a random time. Messages take time, and so do a sync and the first
// connection between two members, which fails if the other one is not started yet.
type restartGroup struct {
	*cluster
	random        *rand.Rand
	startAt       map[ID]time.Duration
	lastTick      map[ID]time.Duration
	diskBusyUntil map[ID]time.Duration // with a sync
	links         map[[2]ID]*restartLink
	inFlight      []messageInFlight
}

// restartLink is the connection from one member to another one.
type restartLink struct {
	connectedAt  time.Duration // 0 if there is no connection
	dialingUntil time.Duration // until when a failing dial loses messages
	dialTimeout  time.Duration // of the next dial
}

// messageInFlight is one message and when it arrives.
type messageInFlight struct {
	arrival time.Duration
	message Message
}

const (
	restartStep        = time.Millisecond
	restartTick        = 25 * time.Millisecond
	restartSync        = 5 * time.Millisecond
	restartStartup     = 100 * time.Millisecond
	restartElection    = testElection
	restartHeartbeat   = testHeartbeat
	restartDialTimeout = 100 * time.Millisecond
	maxDialTimeout     = 400 * time.Millisecond
	connectRoundTrips  = 3                     // round trips of a connection and its handshake
	restartJitter      = 30 * time.Millisecond // of a busy processor
	betweenRegions     = 20 * time.Millisecond
	betweenZones       = 1400 * time.Microsecond
	startSpread        = 450 * time.Millisecond
)

var restartRegions = map[ID]string{"a": "west", "b": "west", "c": "middle", "d": "middle", "e": "east"}

func newRestartGroup(t *testing.T, seed uint64) *restartGroup {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 17))
	g := &restartGroup{
		cluster:  newCluster(t, "a", "b", "c", "d", "e"),
		random:   random,
		startAt:  map[ID]time.Duration{},
		links:    map[[2]ID]*restartLink{},
		lastTick: map[ID]time.Duration{}, diskBusyUntil: map[ID]time.Duration{},
	}
	for _, id := range g.ids() {
		disk := g.disks[id]
		disk.ElectionTimeout, disk.HeartbeatInterval = restartElection, restartHeartbeat
		disk.StartupTimeout = restartStartup
		disk.Seed = random.Uint64()
		g.startAt[id] = time.Duration(random.Int64N(int64(startSpread)))
		g.frozen[id] = true
	}
	return g
}

// step advances the time by restartStep.
func (g *restartGroup) step() {
	g.now += restartStep
	for _, id := range g.ids() {
		if g.frozen[id] && g.now >= g.startAt[id] {
			g.frozen[id] = false
			g.restart(id)
			g.lastTick[id] = g.now
		}
	}
	g.deliverDue()
	for _, id := range g.ids() {
		if !g.frozen[id] && g.now >= g.diskBusyUntil[id] {
			g.runMember(id)
		}
	}
}

// deliverDue delivers the messages in flight that arrive now, in the order of sending.
func (g *restartGroup) deliverDue() {
	var later, due []messageInFlight
	for _, sent := range g.inFlight {
		if sent.arrival <= g.now {
			due = append(due, sent)
		} else {
			later = append(later, sent)
		}
	}
	g.inFlight = later
	for _, sent := range due {
		g.deliver(sent.message)
	}
}

// runMember ticks a member when that is due, and sends its messages after the sync.
func (g *restartGroup) runMember(id ID) {
	if g.now-g.lastTick[id] >= restartTick {
		g.lastTick[id] = g.now
		g.nodes[id].Tick(g.now)
	}
	if !g.nodes[id].HasReady() {
		return
	}
	stored := g.disks[id].HardState
	entries := len(g.disks[id].Entries)
	messages := g.drive(id)
	sent := g.now
	if stored != g.disks[id].HardState || entries != len(g.disks[id].Entries) {
		sent += restartSync
		g.diskBusyUntil[id] = sent
	}
	for _, message := range messages {
		if arrival, arrives := g.transmit(sent, message); arrives {
			g.inFlight = append(g.inFlight, messageInFlight{arrival: arrival, message: message})
		}
	}
}

// transmit returns when a message arrives, and false if it is lost.
func (g *restartGroup) transmit(sent time.Duration, message Message) (arrival time.Duration, arrives bool) {
	delay := betweenRegions
	if restartRegions[message.From] == restartRegions[message.To] {
		delay = betweenZones
	}
	name := [2]ID{message.From, message.To}
	link, known := g.links[name]
	if !known {
		link = &restartLink{dialTimeout: restartDialTimeout}
		g.links[name] = link
	}
	delay += time.Duration(g.random.Int64N(int64(restartJitter)))
	switch {
	case link.connectedAt > 0:
		return max(sent, link.connectedAt) + delay, true
	case sent < link.dialingUntil:
		return 0, false
	case sent+delay < g.startAt[message.To]:
		link.dialingUntil = sent + link.dialTimeout
		link.dialTimeout = min(2*link.dialTimeout, maxDialTimeout)
		return 0, false
	default:
		link.connectedAt = sent + 2*connectRoundTrips*delay
		return link.connectedAt + delay, true
	}
}

// electionResult is the outcome of the election after a loss of all power.
type electionResult struct {
	wait        time.Duration // from the start of the third member to the election of the last leader
	depositions int           // leaders that were replaced by another one
}

// observe runs the group for a while and says how its election went.
func (g *restartGroup) observe() electionResult {
	g.t.Helper()
	var starts []time.Duration
	for _, start := range g.startAt {
		starts = append(starts, start)
	}
	slices.Sort(starts)
	result := electionResult{}
	var leader *Node
	var term uint64
	var since time.Duration
	for g.now < 6*time.Second {
		g.step()
		for _, id := range g.ids() {
			node := g.nodes[id]
			if g.frozen[id] || node.role != Leader || node.term <= term {
				continue
			}
			if leader != nil {
				result.depositions++
			}
			leader, term, since = node, node.term, g.now
		}
	}
	if leader == nil || leader.role != Leader {
		g.t.Fatal("nobody leads")
	}
	result.wait = since - starts[2]
	return result
}

// TestElectionAfterALossOfAllPower: members that start within half a second of one
// another elect soon, and whom they elect goes on leading.
func TestElectionAfterALossOfAllPower(t *testing.T) {
	const groups = 300
	var waits []time.Duration
	deposed := 0
	for seed := range uint64(groups) {
		result := newRestartGroup(t, seed).observe()
		waits = append(waits, result.wait)
		if result.depositions > 0 {
			deposed++
			t.Errorf("seed %d: %d leaders deposed, %v until the last", seed, result.depositions, result.wait)
		}
	}
	slices.Sort(waits)
	t.Logf("median %v, 9 in 10 %v, longest %v, deposed leaders in %d of %d", waits[groups/2], waits[groups*9/10], waits[groups-1], deposed, groups)
}
