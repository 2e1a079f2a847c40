package checker

import (
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// operation holds every send and every answer of an operator's operation.
type operation struct {
	id    string
	sends []eventlog.Event // at least one
	// answers are the definite ones: accepted or refused.
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

// refused returns the first answer if there is one and every one is a refusal.
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

// operationIndex collects operations from events.
type operationIndex struct {
	byID    map[string]*operation
	ordered []*operation // by their first send
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

// acknowledgement is the first acceptance of an operation.
type acknowledgement struct {
	operation *operation
	answer    eventlog.Event
}

// acknowledgements returns the accepted operations of one detail, by their first send.
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
