package simulation

import "time"

// network delivers messages between machines, operators and gateways, which are addressed
// by name.
type network struct {
	world *world
	// blocked is the set of links that lose every message.
	blocked map[link]bool
	// maxDelay is the longest delay of a message outside the tail of the distribution.
	maxDelay time.Duration
	// loss is the probability that a message is lost, baseLoss its value while no fault
	// is injected.
	baseLoss, loss float64
	// duplication is the probability that a message is delivered twice.
	duplication float64
	// tailDelay is the longest additional delay of a message in the tail of the
	// distribution. It reorders messages.
	tailDelay time.Duration
}

// link is a one-way connection between two names.
type link struct {
	from, to string
}

// Conditions of the network while no fault is injected.
const (
	minDelay        = 200 * time.Microsecond
	baseTailDelay   = 5 * time.Millisecond
	baseDuplication = 0.01
	tailProbability = 0.2
)

// maxDelays are the values from which maxDelay is drawn, once for each history.
var maxDelays = []time.Duration{3 * time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond}

// baseLosses are the values from which baseLoss is drawn, once for each history.
var baseLosses = []float64{0, 0, 0.15}

func newNetwork(w *world) network {
	n := network{world: w, blocked: make(map[link]bool), maxDelay: pick(w, maxDelays), baseLoss: pick(w, baseLosses)}
	n.resetConditions()
	return n
}

// resetConditions sets loss, duplication and tail delay to their values without faults.
// Blocked links remain blocked.
func (n *network) resetConditions() {
	n.loss = n.baseLoss
	n.duplication = baseDuplication
	n.tailDelay = baseTailDelay
}

func (n *network) block(from, to string) {
	n.blocked[link{from, to}] = true
}

func (n *network) unblock(from, to string) {
	delete(n.blocked, link{from, to})
}

// send schedules the delivery of a message: once, twice or not at all. Blocking the link
// later does not affect a message that is already in flight.
func (n *network) send(from, to string, deliver func()) {
	if n.blocked[link{from, to}] || n.world.chance(n.loss) {
		return
	}
	n.world.schedule(n.delay(), deliver)
	if n.world.chance(n.duplication) {
		n.world.schedule(n.delay(), deliver)
	}
}

// delay draws the delay of one delivery.
func (n *network) delay() time.Duration {
	delay := n.world.between(minDelay, n.maxDelay)
	if n.world.chance(tailProbability) {
		delay += n.world.between(0, n.tailDelay)
	}
	return delay
}
