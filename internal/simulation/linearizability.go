package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search for a linearization, in real time. It usually
// takes milliseconds.
const linearizabilityTimeout = time.Minute

// recordOperation adds an answered operation, as its operator observed it, to the history
// for the linearizability check.
func (c *checks) recordOperation(o *operator, open *pendingOperation, given answer) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: operatorIndex(c.world, o),
		Input:    open.operation,
		Output:   given,
		Call:     int64(open.issuedAt),
		Return:   int64(c.world.now),
	})
}

// operatorIndex returns the position of an operator, or -1 if it is unknown.
func operatorIndex(w *world, target *operator) int {
	for position, o := range w.operators {
		if o == target {
			return position
		}
	}
	return -1
}

// checkLinearizability checks RuleLinearizability for the history of all operations. It
// also records a violation if the check does not finish within linearizabilityTimeout.
func (c *checks) checkLinearizability() {
	switch porcupine.CheckOperationsTimeout(operationModel, c.history, linearizabilityTimeout) {
	case porcupine.Illegal:
		c.world.recordViolation(RuleLinearizability, "the history of %d operations is not linearizable", len(c.history))
	case porcupine.Unknown:
		c.world.recordViolation(RuleLinearizability, "check not finished after %v for %d operations", linearizabilityTimeout, len(c.history))
	case porcupine.Ok:
	}
}

// registerState is the state of the sequential model: a value with a version, and the
// answers to the operations so far.
type registerState struct {
	version uint64
	content uint64
	answers map[string]answer
}

// operationModel is the sequential specification: each operation takes effect exactly
// once, at one moment between its call and its answer.
var operationModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		current, requested, given := state.(registerState), input.(operation), output.(answer) //nolint:forcetypeassert // porcupine passes the values from recordOperation and Init
		if first, known := current.answers[requested.ID]; known {
			return first == given, current
		}
		next := registerState{version: current.version, content: current.content, answers: make(map[string]answer, len(current.answers)+1)}
		for id, past := range current.answers {
			next.answers[id] = past
		}
		accepted := requested.Base == current.version
		if accepted {
			next.version++
			next.content = requested.contentAfter(current.content)
		}
		next.answers[requested.ID] = given
		sameContent := !accepted || given.Content == next.content
		return given.Accepted == accepted && given.Version == next.version && sameContent, next
	},
	Equal: func(one, other any) bool {
		a, b := one.(registerState), other.(registerState) //nolint:forcetypeassert // porcupine passes the values from Init and Step
		if a.version != b.version || a.content != b.content || len(a.answers) != len(b.answers) {
			return false
		}
		for id, given := range a.answers {
			if b.answers[id] != given {
				return false
			}
		}
		return true
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}
