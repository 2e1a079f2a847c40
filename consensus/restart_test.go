package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartGroup is a group of five members in three regions that come back after a
// loss of all power, each at a moment of its own. Messages take time, and so do the
// disk and the first connection between two members, which is lost if the other one
// has no power yet.
type restartGroup struct {
	*cluster
	random    *rand.Rand
	starts    map[ID]time.Duration
	lastTick  map[ID]time.Duration
	busyUntil map[ID]time.Duration // its disk
	links     map[[2]ID]*restartLink
	underWay  []flight
}

// restartLink is what one member has to another one.
type restartLink struct {
	upAt    time.Duration // when its connection is made, 0 for none
	blocked time.Duration // until when a dialling that fails takes the messages with it
	dialing time.Duration // how long the next dialling may take
}

// flight is one message on its way.
type flight struct {
	at      time.Duration
	message Message
}

const (
	restartStep      = time.Millisecond
	restartTick      = 25 * time.Millisecond
	restartSync      = 5 * time.Millisecond
	restartStartup   = 100 * time.Millisecond
	restartElection  = testElection
	restartHeartbeat = testHeartbeat
	restartDialling  = 100 * time.Millisecond
	longestDialling  = 400 * time.Millisecond
	connecting       = 3                     // round trips of a connection and its handshake
	restartJitter    = 30 * time.Millisecond // of a busy processor
	betweenRegions   = 20 * time.Millisecond
	betweenZones     = 1400 * time.Microsecond
	startsWithin     = 450 * time.Millisecond
)

var restartRegions = map[ID]string{"a": "west", "b": "west", "c": "middle", "d": "middle", "e": "east"}

func newRestartGroup(t *testing.T, seed uint64) *restartGroup {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 17))
	g := &restartGroup{
		cluster:  newCluster(t, "a", "b", "c", "d", "e"),
		random:   random,
		starts:   map[ID]time.Duration{},
		links:    map[[2]ID]*restartLink{},
		lastTick: map[ID]time.Duration{}, busyUntil: map[ID]time.Duration{},
	}
	for _, id := range g.ids() {
		disk := g.disks[id]
		disk.ElectionTimeout, disk.HeartbeatInterval = restartElection, restartHeartbeat
		disk.StartupTimeout = restartStartup
		disk.Seed = random.Uint64()
		g.starts[id] = time.Duration(random.Int64N(int64(startsWithin)))
		g.frozen[id] = true
	}
	return g
}

// step passes a millisecond.
func (g *restartGroup) step() {
	g.now += restartStep
	for _, id := range g.ids() {
		if g.frozen[id] && g.now >= g.starts[id] {
			g.frozen[id] = false
			g.restart(id)
			g.lastTick[id] = g.now
		}
	}
	var left, due []flight
	for _, sent := range g.underWay {
		if sent.at <= g.now {
			due = append(due, sent)
		} else {
			left = append(left, sent)
		}
	}
	g.underWay = left
	for _, sent := range due {
		g.deliver(sent.message)
	}
	for _, id := range g.ids() {
		if !g.frozen[id] && g.now >= g.busyUntil[id] {
			g.work(id)
		}
	}
}

// work ticks a member when it is time, and sends what it has once that is stored.
func (g *restartGroup) work(id ID) {
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
		g.busyUntil[id] = sent
	}
	for _, message := range messages {
		if at, carried := g.carry(sent, message); carried {
			g.underWay = append(g.underWay, flight{at: at, message: message})
		}
	}
}

// carry says when a message that is sent arrives, if it does.
func (g *restartGroup) carry(sent time.Duration, message Message) (at time.Duration, carried bool) {
	delay := betweenRegions
	if restartRegions[message.From] == restartRegions[message.To] {
		delay = betweenZones
	}
	name := [2]ID{message.From, message.To}
	link, known := g.links[name]
	if !known {
		link = &restartLink{dialing: restartDialling}
		g.links[name] = link
	}
	delay += time.Duration(g.random.Int64N(int64(restartJitter)))
	switch {
	case link.upAt > 0:
		return max(sent, link.upAt) + delay, true
	case sent < link.blocked:
		return 0, false
	case sent+delay < g.starts[message.To]:
		link.blocked = sent + link.dialing
		link.dialing = min(2*link.dialing, longestDialling)
		return 0, false
	default:
		link.upAt = sent + 2*connecting*delay
		return link.upAt + delay, true
	}
}

// restarted is how an election after a loss of all power went.
type restarted struct {
	wait    time.Duration // from the third start to the leader that stayed
	unseats int           // leaders that others took the place of
}

// observe runs the group for a while and says how its election went.
func (g *restartGroup) observe() restarted {
	g.t.Helper()
	var starts []time.Duration
	for _, start := range g.starts {
		starts = append(starts, start)
	}
	slices.Sort(starts)
	result := restarted{}
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
				result.unseats++
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
	unseated := 0
	for seed := range uint64(groups) {
		result := newRestartGroup(t, seed).observe()
		waits = append(waits, result.wait)
		if result.unseats > 0 {
			unseated++
			t.Errorf("seed %d: %d leaders unseated, %v until the last", seed, result.unseats, result.wait)
		}
	}
	slices.Sort(waits)
	t.Logf("median %v, 9 in 10 %v, longest %v, unseated in %d of %d", waits[groups/2], waits[groups*9/10], waits[groups-1], unseated, groups)
}
