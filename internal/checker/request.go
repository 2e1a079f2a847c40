package checker

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// request holds what callers and replicas logged about one request id.
type request struct {
	id          string
	first       eventlog.Event // of its caller
	answers     []eventlog.Event
	executed    []eventlog.Event
	chunks      map[int][]eventlog.Event // of streams, by the caller's attempt
	abandoned   bool
	repeatable  bool
	homeRegions []string
}

// answerWith returns the first answer with an outcome.
func (r *request) answerWith(outcome api.Outcome) (eventlog.Event, bool) {
	for _, answer := range r.answers {
		if answer.Outcome == string(outcome) {
			return answer, true
		}
	}
	return eventlog.Event{}, false
}

// affected reports whether its caller got no success, for a reason that a failure
// elsewhere must not cause. A request that a replica failed does not count.
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
