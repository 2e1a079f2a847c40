package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// checkAtMostOnce counts executions of each non-repeatable request over all
// replicas.
func checkAtMostOnce(l *log, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: 1, Unit: "executions"}
	for _, of := range l.ordered {
		if of.repeatable || len(of.executed) == 0 {
			continue
		}
		verdict.Examined++
		verdict.worst(float64(len(of.executed)))
		if len(of.executed) > 1 {
			verdict.violate(fmt.Sprintf("request %s ran %d times", of.id, len(of.executed)), firstOf(of.executed, 3)...)
		}
	}
}

// checkRefusals joins refusals with executions, earlier and later ones.
func checkRefusals(l *log, _ Options, verdict *Verdict) {
	for _, of := range l.ordered {
		refusal, ok := answerWith(of, api.OutcomeRefused)
		if !ok {
			continue
		}
		verdict.Examined++
		if len(of.executed) > 0 {
			verdict.violate(fmt.Sprintf("request %s was refused (%s) and ran", of.id, refusal.Code), refusal, of.executed[0])
		}
	}
}

func answerWith(of *request, outcome api.Outcome) (eventlog.Event, bool) {
	for _, answer := range of.answers {
		if answer.Outcome == string(outcome) {
			return answer, true
		}
	}
	return eventlog.Event{}, false
}

func firstOf(events []eventlog.Event, count int) []eventlog.Event {
	if len(events) > count {
		return events[:count]
	}
	return events
}

// checkSuccesses examines each success: the caller's own verification, then the
// run it names, which must be of this request and have ended whole.
func checkSuccesses(l *log, _ Options, verdict *Verdict) {
	for _, of := range l.ordered {
		for _, answer := range of.answers {
			if answer.Outcome != string(api.OutcomeSuccess) {
				continue
			}
			verdict.Examined++
			checkSuccess(l, of, answer, verdict)
		}
	}
}

func checkSuccess(l *log, of *request, answer eventlog.Event, verdict *Verdict) {
	if answer.Detail != "" && !answer.Stream {
		verdict.violate(fmt.Sprintf("request %s: success with %s", of.id, answer.Detail), answer)
		return
	}
	ended, ok := l.ended[answer.Run]
	if ok && ended.Request != of.id {
		verdict.violate(fmt.Sprintf("request %s got the answer of request %s", of.id, ended.Request), answer, ended)
		return
	}
	if !ok {
		checkRunKnown(of, answer, verdict)
		return
	}
	if answer.Stream {
		return // a stream's end is examined with the streams
	}
	if !endedWhole(ended) {
		verdict.violate(fmt.Sprintf("request %s: success of a run that ended %s", of.id, ended.Detail), answer, ended)
		return
	}
	if ended.Tokens != 0 && answer.Tokens != ended.Tokens {
		verdict.violate(fmt.Sprintf("request %s: success with %d of %d tokens", of.id, answer.Tokens, ended.Tokens), answer, ended)
	}
}

// checkRunKnown accepts a run whose end is not on record, as of a replica that
// was killed, only if its start is.
func checkRunKnown(of *request, answer eventlog.Event, verdict *Verdict) {
	for _, executed := range of.executed {
		if executed.Run == answer.Run {
			return
		}
	}
	verdict.violate(fmt.Sprintf("request %s: success of run %q, which never began for it", of.id, answer.Run), answer)
}

func endedWhole(ended eventlog.Event) bool {
	switch ended.Detail {
	case DetailWhole, DetailLate, DetailStall:
		return true
	}
	return false
}

// checkStreams examines each stream of each caller: sequence, run and end.
func checkStreams(l *log, _ Options, verdict *Verdict) {
	for _, of := range l.ordered {
		for _, pieces := range of.pieces {
			verdict.Examined += len(pieces)
			checkPieces(of, pieces, verdict)
		}
		for _, answer := range of.answers {
			if answer.Stream {
				checkStreamEnd(l, of, answer, verdict)
			}
		}
	}
}

func checkPieces(of *request, pieces []eventlog.Event, verdict *Verdict) {
	for i, piece := range pieces {
		if piece.Sequence != i+1 {
			verdict.violate(fmt.Sprintf("request %s: event %d arrived as number %d", of.id, piece.Sequence, i+1), evidenceOf(pieces, i)...)
			return
		}
		if piece.Run != pieces[0].Run {
			verdict.violate(fmt.Sprintf("request %s: pieces of runs %s and %s", of.id, pieces[0].Run, piece.Run), pieces[0], piece)
			return
		}
	}
}

func evidenceOf(pieces []eventlog.Event, i int) []eventlog.Event {
	if i == 0 {
		return pieces[:1]
	}
	return pieces[i-1 : i+1]
}

// checkStreamEnd examines how one stream ended for its caller.
func checkStreamEnd(l *log, of *request, answer eventlog.Event, verdict *Verdict) {
	if answer.Outcome != string(api.OutcomeSuccess) {
		if answer.Detail == DetailCleanEnd {
			verdict.violate(fmt.Sprintf("request %s: a failed stream was closed as if it were whole", of.id), answer)
		}
		return
	}
	verdict.Examined++
	if answer.Detail != "" {
		verdict.violate(fmt.Sprintf("request %s: stream ended with %s", of.id, answer.Detail), answer)
		return
	}
	pieces := of.pieces[answer.Attempt]
	if answer.Sequence != len(pieces)+1 {
		verdict.violate(fmt.Sprintf("request %s: end numbered %d after %d events", of.id, answer.Sequence, len(pieces)), answer)
		return
	}
	ended, ok := l.ended[answer.Run]
	if ok && !endedWhole(ended) {
		verdict.violate(fmt.Sprintf("request %s: end marker of a run that ended %s", of.id, ended.Detail), answer, ended)
	}
}

// checkHomes examines where home-bound requests ran.
func checkHomes(l *log, _ Options, verdict *Verdict) {
	for _, of := range l.ordered {
		if len(of.homeRegions) == 0 {
			continue
		}
		for _, executed := range of.executed {
			verdict.Examined++
			if !contains(of.homeRegions, l.regionOf(executed)) {
				verdict.violate(fmt.Sprintf("request %s, at home in %v, ran in %s", of.id, of.homeRegions, l.regionOf(executed)), of.first, executed)
			}
		}
	}
}

func contains(list []string, item string) bool {
	for _, entry := range list {
		if entry == item {
			return true
		}
	}
	return false
}
