package checker

import (
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// operation holds all sends of, and definite answers to, one operation of an operator.
type operation struct {
	id    string
	sends []eventlog.Event // at least one
	// answers holds the definite answers, accepted or refused, and omits unknown
	// outcomes.
	answers []eventlog.Event
}

// accepted returns the first answer that accepts the operation.
func (o *operation) accepted() (eventlog.Event, bool) {
	for _, answer := range o.answers {
		if answer.Outcome == OperationAccepted {
			return answer, true
		}
	}
	return eventlog.Event{}, false
}

// refused returns the first answer if the operation was answered and all answers are
// refusals.
func (o *operation) refused() (eventlog.Event, bool) {
	if len(o.answers) == 0 {
		return eventlog.Event{}, false
	}
	if _, ok := o.accepted(); ok {
		return eventlog.Event{}, false
	}
	return o.answers[0], true
}

func (o *operation) detail() string { return o.sends[0].Detail }
func (o *operation) zone() string   { return o.sends[0].Zone }
func (o *operation) base() uint64   { return o.sends[0].Base }

// digest identifies the document of a configuration.
func (o *operation) digest() string { return o.sends[0].Target }

// operationIndex groups the events of operations by operation id.
type operationIndex struct {
	byID    map[string]*operation
	ordered []*operation // ordered by first send
}

func newOperationIndex() *operationIndex {
	return &operationIndex{byID: map[string]*operation{}}
}

func (x *operationIndex) add(event eventlog.Event) {
	known, ok := x.byID[event.Operation]
	switch event.Kind {
	case eventlog.OperationSent:
		if !ok {
			known = &operation{id: event.Operation}
			x.byID[event.Operation] = known
			x.ordered = append(x.ordered, known)
		}
		known.sends = append(known.sends, event)
	case eventlog.OperationAnswered:
		if ok && event.Outcome != OperationUnknown {
			known.answers = append(known.answers, event)
		}
	}
}

// acknowledgement is an operation with the first answer that accepted it.
type acknowledgement struct {
	operation *operation
	answer    eventlog.Event
}

// acknowledgements returns the accepted operations with the given detail, ordered by
// first send.
func (x *index) acknowledgements(detail string) []acknowledgement {
	var list []acknowledgement
	for _, operation := range x.operations {
		if operation.detail() != detail {
			continue
		}
		if answer, ok := operation.accepted(); ok {
			list = append(list, acknowledgement{operation: operation, answer: answer})
		}
	}
	return list
}
