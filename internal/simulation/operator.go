package simulation

import (
	"fmt"
	"time"
)

const (
	operatorCount         = 3
	operationsPerOperator = 14
	minThinkTime          = 20 * time.Millisecond
	maxThinkTime          = 700 * time.Millisecond
	minAnswerTimeout      = 150 * time.Millisecond
	maxAnswerTimeout      = 600 * time.Millisecond
	resendProbability     = 0.3
	staleBaseProbability  = 0.2
	// changeInterval is how often an order changes the value and does not replace it.
	changeInterval = 2
)

// operator sends orders one after another, each until it is answered, and
// sometimes one again that has been answered long ago.
type operator struct {
	world *world
	name  string
	// knownVersion is the newest one that it has read.
	knownVersion uint64
	issued       int
	pending      *pendingOperation
	completed    []operation
	answers      map[string]answer
}

// pendingOperation is an order whose answer is awaited.
type pendingOperation struct {
	operation operation
	attempt   int
	issuedAt  time.Duration
	resent    bool // has been answered before
}

func (w *world) populateOperators() {
	for i := range operatorCount {
		o := &operator{world: w, name: fmt.Sprintf("operator-%d", i), answers: make(map[string]answer)}
		w.operators = append(w.operators, o)
		o.scheduleNext()
	}
}

func (o *operator) scheduleNext() {
	o.world.schedule(o.world.between(minThinkTime, maxThinkTime), o.issue)
}

func (o *operator) idle() bool {
	return o.pending == nil
}

// issue sends a new order, or an old one again.
func (o *operator) issue() {
	if o.issued >= operationsPerOperator || o.world.now >= o.world.options.Duration {
		return
	}
	o.issued++
	if len(o.completed) > 0 && o.world.chance(resendProbability) {
		o.pending = &pendingOperation{operation: pick(o.world, o.completed), issuedAt: o.world.now, resent: true}
	} else {
		o.pending = &pendingOperation{operation: o.newOperation(), issuedAt: o.world.now}
	}
	o.send()
}

func (o *operator) newOperation() operation {
	base := o.knownVersion
	if reader := pick(o.world, o.world.machines); reader.up() && !o.world.chance(staleBaseProbability) {
		base = max(base, reader.state.version())
	}
	return operation{ID: fmt.Sprintf("%s-%d", o.name, o.issued), Base: base, Change: o.issued%changeInterval == 0}
}

// send asks some machine, and another one when no answer comes.
func (o *operator) send() {
	open := o.pending
	open.attempt++
	attempt := open.attempt
	to := pick(o.world, o.world.machines)
	o.world.network.send(o.name, to.name, func() {
		to.receive(func() { to.receiveOperation(open.operation, waiter{operator: o}) })
	})
	o.world.schedule(o.world.between(minAnswerTimeout, maxAnswerTimeout), func() {
		if o.pending == open && open.attempt == attempt {
			o.send()
		}
	})
}

// receiveAnswer takes an answer in, which may be late or doubled.
func (o *operator) receiveAnswer(id string, given answer) {
	if first, known := o.answers[id]; known && first != given {
		o.world.recordViolation(RuleSingleAnswer, "order %s was answered %+v, and again %+v", id, first, given)
	}
	if o.pending == nil || o.pending.operation.ID != id {
		return
	}
	if !o.pending.resent {
		o.completed = append(o.completed, o.pending.operation)
	}
	o.answers[id] = given
	o.knownVersion = max(o.knownVersion, given.Version)
	o.world.result.Answered++
	o.world.checks.recordOperation(o, o.pending, given)
	o.pending = nil
	o.scheduleNext()
}
