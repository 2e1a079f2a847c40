package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartGroup is a group of five members in three regions that all restart after a power
// failure, each at a random time. It simulates the delays of messages, disk syncs and new
// connections. A connection attempt fails if the other member has not started yet.
type restartGroup struct {
	*cluster
	random        *rand.Rand
	startAt       map[ID]time.Duration
	lastTick      map[ID]time.Duration
	diskBusyUntil map[ID]time.Duration // end of the current sync
	links         map[[2]ID]*restartLink
	inFlight      []messageInFlight
}

// restartLink is the connection from one member to another.
type restartLink struct {
	connectedAt  time.Duration // 0 if there is no connection
	dialingUntil time.Duration // messages are lost until this time, when a failing dial times out
	dialTimeout  time.Duration // timeout of the next dial
}

// messageInFlight is a message and its arrival time.
type messageInFlight struct {
	arrival time.Duration
	message Message
}

const (
	restartStep              = time.Millisecond
	restartTickInterval      = 25 * time.Millisecond
	restartSyncDuration      = 5 * time.Millisecond
	restartStartupTimeout    = 100 * time.Millisecond
	restartElectionTimeout   = testElectionTimeout
	restartHeartbeatInterval = testHeartbeatInterval
	restartDialTimeout       = 100 * time.Millisecond
	maxDialTimeout           = 400 * time.Millisecond
	connectRoundTrips        = 3                     // round trips to open a connection, including its handshake
	restartJitter            = 30 * time.Millisecond // maximum extra delay caused by a busy processor
	interRegionDelay         = 20 * time.Millisecond
	interZoneDelay           = 1400 * time.Microsecond
	maxStartDelay            = 450 * time.Millisecond
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
		disk.ElectionTimeout, disk.HeartbeatInterval = restartElectionTimeout, restartHeartbeatInterval
		disk.StartupTimeout = restartStartupTimeout
		disk.Seed = random.Uint64()
		g.startAt[id] = time.Duration(random.Int64N(int64(maxStartDelay)))
		g.frozen[id] = true
	}
	return g
}

// step advances the time by restartStep and starts the members that are due.
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

// deliverDue delivers the messages whose arrival time has come, in the order in which they
// were sent.
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

// runMember ticks a member if a tick is due, processes its Ready, and sends its messages
// after the sync.
func (g *restartGroup) runMember(id ID) {
	if g.now-g.lastTick[id] >= restartTickInterval {
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
		sent += restartSyncDuration
		g.diskBusyUntil[id] = sent
	}
	for _, message := range messages {
		if arrival, arrives := g.transmit(sent, message); arrives {
			g.inFlight = append(g.inFlight, messageInFlight{arrival: arrival, message: message})
		}
	}
}

// transmit returns the arrival time of a message, or false if the message is lost.
func (g *restartGroup) transmit(sent time.Duration, message Message) (arrival time.Duration, arrives bool) {
	delay := interRegionDelay
	if restartRegions[message.From] == restartRegions[message.To] {
		delay = interZoneDelay
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

// electionResult is the outcome of the election after all members have restarted.
type electionResult struct {
	wait        time.Duration // from the start of the third member, which completes a quorum, to the election of the last leader
	depositions int           // number of leaders that were replaced by a successor
}

// observe runs the group for six seconds and returns the outcome of its election.
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
	var electedAt time.Duration
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
			leader, term, electedAt = node, node.term, g.now
		}
	}
	if leader == nil || leader.role != Leader {
		g.t.Fatal("the group has no leader")
	}
	result.wait = electedAt - starts[2]
	return result
}

// TestElectionAfterRestartOfAllMembers restarts all members within half a second of each
// other: the first leader that they elect must not be deposed.
func TestElectionAfterRestartOfAllMembers(t *testing.T) {
	const groups = 300
	var waits []time.Duration
	deposed := 0
	for seed := range uint64(groups) {
		result := newRestartGroup(t, seed).observe()
		waits = append(waits, result.wait)
		if result.depositions > 0 {
			deposed++
			t.Errorf("seed %d: %d leaders were deposed; the last was elected after %v", seed, result.depositions, result.wait)
		}
	}
	slices.Sort(waits)
	t.Logf("time to elect: median %v, 90th percentile %v, maximum %v; leaders deposed in %d of %d groups", waits[groups/2], waits[groups*9/10], waits[groups-1], deposed, groups)
}
