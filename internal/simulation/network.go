package simulation

import "time"

// network carries messages between places, which are machines, operators and
// gateways by name.
type network struct {
	world *world
	// cuts holds the directed pairs that lose everything.
	cuts map[direction]bool
	// most is the longest delay without a tail.
	most time.Duration
	// usual is the loss while no fault is injected, loss that at present.
	usual, loss float64
	// doubling is the probability that a message arrives twice.
	doubling float64
	// tail is the longest extra delay; it reorders messages.
	tail time.Duration
}

type direction struct {
	from, to string
}

const (
	leastDelay    = 200 * time.Microsecond
	usualTail     = 5 * time.Millisecond
	usualDoubling = 0.01
	tailShare     = 0.2
)

// farthest are the longest usual delays, one drawn for each history.
var farthest = []time.Duration{3 * time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond}

// usualLosses are the losses while no fault is injected, one drawn for each history.
var usualLosses = []float64{0, 0, 0.15}

func newNetwork(w *world) network {
	n := network{world: w, cuts: make(map[direction]bool), most: pick(w, farthest), usual: pick(w, usualLosses)}
	n.setUsual()
	return n
}

// setUsual ends loss, doubling and reordering beyond the usual, but not the cuts.
func (n *network) setUsual() {
	n.loss = n.usual
	n.doubling = usualDoubling
	n.tail = usualTail
}

func (n *network) cut(from, to string) {
	n.cuts[direction{from, to}] = true
}

func (n *network) mend(from, to string) {
	delete(n.cuts, direction{from, to})
}

// send plans the arrival of a message, or of two, or of none. A cut that begins
// while the message is under way does not hold it up.
func (n *network) send(from, to string, arrive func()) {
	if n.cuts[direction{from, to}] || n.world.chance(n.loss) {
		return
	}
	n.world.after(n.delay(), arrive)
	if n.world.chance(n.doubling) {
		n.world.after(n.delay(), arrive)
	}
}

func (n *network) delay() time.Duration {
	delay := n.world.between(leastDelay, n.most)
	if n.world.chance(tailShare) {
		delay += n.world.between(0, n.tail)
	}
	return delay
}
