package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// executionEvidence is the maximum number of executions listed as evidence of a
// violation.
const executionEvidence = 3

// checkAtMostOnce counts the executions of each non-repeatable request on all replicas.
func checkAtMostOnce(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: 1, Unit: "executions"}
	for _, request := range x.ordered {
		if request.repeatable || len(request.executed) == 0 {
			continue
		}
		verdict.Examined++
		verdict.measure(float64(len(request.executed)))
		if len(request.executed) > 1 {
			verdict.addViolation(fmt.Sprintf("request %s ran %d times", request.id, len(request.executed)), firstOf(request.executed, executionEvidence)...)
		}
	}
}

// checkRefusals finds executions of refused requests, both before and after the refusal.
func checkRefusals(x *index, _ Options, verdict *Verdict) {
	for _, request := range x.ordered {
		refusal, ok := request.answerWith(api.OutcomeRefused)
		if !ok {
			continue
		}
		verdict.Examined++
		if len(request.executed) > 0 {
			verdict.addViolation(fmt.Sprintf("request %s was refused (%s) and ran", request.id, refusal.Code), refusal, request.executed[0])
		}
	}
}

// firstOf returns at most the first count events.
func firstOf(events []eventlog.Event, count int) []eventlog.Event {
	return events[:min(count, len(events))]
}

// checkSuccesses examines each successful answer: first the result of the caller's own
// verification, then the execution that the answer names, which must belong to this
// request and have ended with a complete answer.
func checkSuccesses(x *index, _ Options, verdict *Verdict) {
	for _, request := range x.ordered {
		for _, answer := range request.answers {
			if answer.Outcome != string(api.OutcomeSuccess) {
				continue
			}
			verdict.Examined++
			checkSuccess(x, request, answer, verdict)
		}
	}
}

func checkSuccess(x *index, request *request, answer eventlog.Event, verdict *Verdict) {
	if answer.Detail != "" && !answer.Stream {
		verdict.addViolation(fmt.Sprintf("request %s: success with %s", request.id, answer.Detail), answer)
		return
	}
	ended, ok := x.ended[answer.Run]
	if ok && ended.Request != request.id {
		verdict.addViolation(fmt.Sprintf("request %s received the answer to request %s", request.id, ended.Request), answer, ended)
		return
	}
	if !ok {
		checkExecutionStarted(request, answer, verdict)
		return
	}
	if answer.Stream {
		return // checkStreams examines the ends of streams
	}
	if !endedCompletely(ended) {
		verdict.addViolation(fmt.Sprintf("request %s: success of a run that ended %s", request.id, ended.Detail), answer, ended)
		return
	}
	if ended.Tokens != 0 && answer.Tokens != ended.Tokens {
		verdict.addViolation(fmt.Sprintf("request %s: success with %d of %d tokens", request.id, answer.Tokens, ended.Tokens), answer, ended)
	}
}

// checkExecutionStarted examines a success whose execution has no logged end, as when the
// replica was killed. The start of the execution must be logged for this request.
func checkExecutionStarted(request *request, answer eventlog.Event, verdict *Verdict) {
	for _, executed := range request.executed {
		if executed.Run == answer.Run {
			return
		}
	}
	verdict.addViolation(fmt.Sprintf("request %s: success of run %q, which never started for this request", request.id, answer.Run), answer)
}

// endedCompletely reports whether an execution ended with a complete answer.
func endedCompletely(ended eventlog.Event) bool {
	switch ended.Detail {
	case DetailComplete, DetailLate, DetailStall:
		return true
	}
	return false
}
