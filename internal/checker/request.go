package checker

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// request holds what callers and replicas logged about one request id.
type request struct {
	id          string
	first       eventlog.Event // first event of the caller
	answers     []eventlog.Event
	executed    []eventlog.Event
	chunks      map[int][]eventlog.Event // received stream chunks, by the caller's attempt
	abandoned   bool
	repeatable  bool
	homeRegions []string
}

// answerWith returns the first answer with the given outcome.
func (r *request) answerWith(outcome api.Outcome) (eventlog.Event, bool) {
	for _, answer := range r.answers {
		if answer.Outcome == string(outcome) {
			return answer, true
		}
	}
	return eventlog.Event{}, false
}

// affected reports whether the request was refused or lost: its caller got no success,
// did not abandon it, and at least one answer has an outcome other than a failure on a
// replica. A failure elsewhere in the fleet must not cause this.
func (r *request) affected() bool {
	if _, succeeded := r.answerWith(api.OutcomeSuccess); r.abandoned || succeeded {
		return false
	}
	for _, answer := range r.answers {
		if answer.Outcome != string(api.OutcomeFailed) {
			return true
		}
	}
	return false
}
