package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// executionEvidence is the number of executions that a violation shows.
const executionEvidence = 3

// checkAtMostOnce counts the executions of each non-repeatable request over all
// replicas.
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

// checkRefusals finds executions of refused requests, before and after the refusal.
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

// firstOf returns the first events, at most count.
func firstOf(events []eventlog.Event, count int) []eventlog.Event {
	return events[:min(count, len(events))]
}

// checkSuccesses examines each success: what the caller verified, then the execution it
// names, which must be of this request and have ended completely.
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
		verdict.addViolation(fmt.Sprintf("request %s got the answer of request %s", request.id, ended.Request), answer, ended)
		return
	}
	if !ok {
		checkRunKnown(request, answer, verdict)
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

// checkRunKnown examines a success of an execution without an end in the logs, as that
// of a replica that was killed. Its start must be there.
func checkRunKnown(request *request, answer eventlog.Event, verdict *Verdict) {
	for _, executed := range request.executed {
		if executed.Run == answer.Run {
			return
		}
	}
	verdict.addViolation(fmt.Sprintf("request %s: success of run %q, which never began for it", request.id, answer.Run), answer)
}

// endedCompletely reports whether an execution ended with a complete answer.
func endedCompletely(ended eventlog.Event) bool {
	switch ended.Detail {
	case DetailComplete, DetailLate, DetailStall:
		return true
	}
	return false
}
