package simulation

import (
	"fmt"
	"time"
)

const (
	operatorCount  = 3
	ordersEach     = 14
	thinkLeast     = 20 * time.Millisecond
	thinkMost      = 700 * time.Millisecond
	patienceLeast  = 150 * time.Millisecond
	patienceMost   = 600 * time.Millisecond
	resendAnswered = 0.3
	staleBase      = 0.2
	// changeEvery is how often an order changes the value and does not replace it.
	changeEvery = 2
)

// operator sends orders one after another, each until it is answered, and
// sometimes one again that has been answered long ago.
type operator struct {
	world *world
	name  string
	// version is the newest one that it has read.
	version uint64
	sent    int
	open    *openOrder
	past    []order
	answers map[string]answer
}

// openOrder is an order whose answer is awaited.
type openOrder struct {
	order   order
	attempt int
	asked   time.Duration
	resent  bool // has been answered before
}

func (w *world) populateOperators() {
	for i := range operatorCount {
		o := &operator{world: w, name: fmt.Sprintf("operator-%d", i), answers: make(map[string]answer)}
		w.operators = append(w.operators, o)
		o.later()
	}
}

func (o *operator) later() {
	o.world.after(o.world.between(thinkLeast, thinkMost), o.begin)
}

func (o *operator) done() bool {
	return o.open == nil
}

// begin sends a new order, or an old one again.
func (o *operator) begin() {
	if o.sent >= ordersEach || o.world.now >= o.world.options.Duration {
		return
	}
	o.sent++
	if len(o.past) > 0 && o.world.chance(resendAnswered) {
		o.open = &openOrder{order: pick(o.world, o.past), asked: o.world.now, resent: true}
	} else {
		o.open = &openOrder{order: o.newOrder(), asked: o.world.now}
	}
	o.send()
}

func (o *operator) newOrder() order {
	base := o.version
	if reader := pick(o.world, o.world.machines); reader.up() && !o.world.chance(staleBase) {
		base = max(base, reader.state.version())
	}
	return order{ID: fmt.Sprintf("%s-%d", o.name, o.sent), Base: base, Change: o.sent%changeEvery == 0}
}

// send asks some machine, and another one when no answer comes.
func (o *operator) send() {
	open := o.open
	open.attempt++
	attempt := open.attempt
	to := pick(o.world, o.world.machines)
	o.world.network.send(o.name, to.name, func() {
		to.receive(func() { to.askOrder(open.order, waiting{operator: o}) })
	})
	o.world.after(o.world.between(patienceLeast, patienceMost), func() {
		if o.open == open && open.attempt == attempt {
			o.send()
		}
	})
}

// answered takes an answer in, which may be late or doubled.
func (o *operator) answered(id string, given answer) {
	if first, known := o.answers[id]; known && first != given {
		o.world.violate(RuleAnswer, "order %s was answered %+v, and again %+v", id, first, given)
	}
	if o.open == nil || o.open.order.ID != id {
		return
	}
	if !o.open.resent {
		o.past = append(o.past, o.open.order)
	}
	o.answers[id] = given
	o.version = max(o.version, given.Version)
	o.world.result.Answered++
	o.world.checks.record(o, o.open, given)
	o.open = nil
	o.later()
}
