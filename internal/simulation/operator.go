package simulation

import (
	"fmt"
	"time"
)

// Workload of the operators: their number, think times, timeouts and the probabilities of
// resending an answered operation and of basing an operation on an old version.
const (
	operatorCount         = 3
	operationsPerOperator = 14
	minThinkTime          = 20 * time.Millisecond
	maxThinkTime          = 700 * time.Millisecond
	minAnswerTimeout      = 150 * time.Millisecond
	maxAnswerTimeout      = 600 * time.Millisecond
	resendProbability     = 0.3
	staleBaseProbability  = 0.2
	// changeInterval is the interval, in operations, at which an operation changes the
	// value instead of replacing it.
	changeInterval = 2
)

// operator issues operations sequentially. It resends an operation until it is answered,
// and sometimes resends an operation that has been answered before.
type operator struct {
	world *world
	name  string
	// knownVersion is the highest version of the value in any answer so far.
	knownVersion uint64
	issued       int
	pending      *pendingOperation
	completed    []operation
	answers      map[string]answer
}

// pendingOperation is an operation without an answer.
type pendingOperation struct {
	operation operation
	attempt   int
	issuedAt  time.Duration
	resent    bool // whether it was answered before
}

func (w *world) populateOperators() {
	for i := range operatorCount {
		o := &operator{world: w, name: fmt.Sprintf("operator-%d", i), answers: make(map[string]answer)}
		w.operators = append(w.operators, o)
		o.scheduleNext()
	}
}

// scheduleNext issues an operation after a think time.
func (o *operator) scheduleNext() {
	o.world.schedule(o.world.between(minThinkTime, maxThinkTime), o.issue)
}

// idle reports whether no operation is pending.
func (o *operator) idle() bool {
	return o.pending == nil
}

// issue sends a new operation, or resends a completed one.
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

// newOperation creates an operation based on the newest version that the operator has
// received, or on the version of a random machine if that is newer.
func (o *operator) newOperation() operation {
	base := o.knownVersion
	if reader := pick(o.world, o.world.machines); reader.up() && !o.world.chance(staleBaseProbability) {
		base = max(base, reader.state.version())
	}
	return operation{ID: fmt.Sprintf("%s-%d", o.name, o.issued), Base: base, Change: o.issued%changeInterval == 0}
}

// send sends the pending operation to a random machine, and to another one after a
// timeout.
func (o *operator) send() {
	pending := o.pending
	pending.attempt++
	attempt := pending.attempt
	to := pick(o.world, o.world.machines)
	o.world.network.send(o.name, to.name, func() {
		to.receive(func() { to.receiveOperation(pending.operation, waiter{operator: o}) })
	})
	o.world.schedule(o.world.between(minAnswerTimeout, maxAnswerTimeout), func() {
		if o.pending == pending && pending.attempt == attempt {
			o.send()
		}
	})
}

// receiveAnswer handles an answer, which may be late or a duplicate.
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
