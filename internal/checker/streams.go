package checker

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// checkStreams examines the sequence numbers, the run and the end of each stream that
// callers received.
func checkStreams(x *index, _ Options, verdict *Verdict) {
	for _, request := range x.ordered {
		for _, chunks := range request.chunks {
			verdict.Examined += len(chunks)
			checkChunks(request, chunks, verdict)
		}
		for _, answer := range request.answers {
			if answer.Stream {
				checkStreamEnd(x, request, answer, verdict)
			}
		}
	}
}

// checkChunks finds the first chunk that is out of sequence or comes from another
// execution.
func checkChunks(request *request, chunks []eventlog.Event, verdict *Verdict) {
	for i, chunk := range chunks {
		if chunk.Sequence != i+1 {
			verdict.addViolation(fmt.Sprintf("request %s: chunk %d arrived at position %d", request.id, chunk.Sequence, i+1), withPredecessor(chunks, i)...)
			return
		}
		if chunk.Run != chunks[0].Run {
			verdict.addViolation(fmt.Sprintf("request %s: chunks of runs %s and %s in one stream", request.id, chunks[0].Run, chunk.Run), chunks[0], chunk)
			return
		}
	}
}

// withPredecessor returns a chunk and the one before it, if there is one.
func withPredecessor(chunks []eventlog.Event, i int) []eventlog.Event {
	return chunks[max(0, i-1) : i+1]
}

// checkStreamEnd examines how one stream ended for its caller.
func checkStreamEnd(x *index, request *request, answer eventlog.Event, verdict *Verdict) {
	if answer.Outcome != string(api.OutcomeSuccess) {
		if answer.Detail == DetailCleanEnd {
			verdict.addViolation(fmt.Sprintf("request %s: a failed stream was closed as if it were complete", request.id), answer)
		}
		return
	}
	verdict.Examined++
	if answer.Detail != "" {
		verdict.addViolation(fmt.Sprintf("request %s: stream ended with %s", request.id, answer.Detail), answer)
		return
	}
	chunks := request.chunks[answer.Attempt]
	if answer.Sequence != len(chunks)+1 {
		verdict.addViolation(fmt.Sprintf("request %s: end marker with number %d after %d chunks", request.id, answer.Sequence, len(chunks)), answer)
		return
	}
	ended, ok := x.ended[answer.Run]
	if ok && !endedCompletely(ended) {
		verdict.addViolation(fmt.Sprintf("request %s: end marker of a run that ended %s", request.id, ended.Detail), answer, ended)
	}
}
