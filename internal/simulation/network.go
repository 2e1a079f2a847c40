package simulation

import "time"

// network carries messages between places, which are machines, operators and
// gateways by name.
type network struct {
	world *world
	// blocked holds the directed pairs that lose everything.
	blocked map[link]bool
	// maxDelay is the longest delay without a tail.
	maxDelay time.Duration
	// baseLoss is the loss while no fault is injected, loss that at present.
	baseLoss, loss float64
	// duplication is the probability that a message arrives twice.
	duplication float64
	// tailDelay is the longest extra delay; it reorders messages.
	tailDelay time.Duration
}

type link struct {
	from, to string
}

const (
	minDelay        = 200 * time.Microsecond
	baseTailDelay   = 5 * time.Millisecond
	baseDuplication = 0.01
	tailProbability = 0.2
)

// maxDelays are the longest usual delays, one drawn for each history.
var maxDelays = []time.Duration{3 * time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond}

// baseLosses are the losses while no fault is injected, one drawn for each history.
var baseLosses = []float64{0, 0, 0.15}

func newNetwork(w *world) network {
	n := network{world: w, blocked: make(map[link]bool), maxDelay: pick(w, maxDelays), baseLoss: pick(w, baseLosses)}
	n.resetConditions()
	return n
}

// resetConditions ends loss, doubling and reordering beyond the usual, but not the cuts.
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

// send plans the arrival of a message, or of two, or of none. A cut that begins
// while the message is under way does not hold it up.
func (n *network) send(from, to string, arrive func()) {
	if n.blocked[link{from, to}] || n.world.chance(n.loss) {
		return
	}
	n.world.schedule(n.delay(), arrive)
	if n.world.chance(n.duplication) {
		n.world.schedule(n.delay(), arrive)
	}
}

func (n *network) delay() time.Duration {
	delay := n.world.between(minDelay, n.maxDelay)
	if n.world.chance(tailProbability) {
		delay += n.world.between(0, n.tailDelay)
	}
	return delay
}
