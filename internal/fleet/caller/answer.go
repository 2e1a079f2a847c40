package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const streamType = "text/event-stream"

// answerReader reads and verifies one answer with status 200.
type answerReader struct {
	session *session
	attempt int
	gateway string

	got     result
	last    time.Time
	pieces  int
	failure *api.Error
	ended   bool
}

func (r *answerReader) read(response *http.Response) result {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err == nil && kind == streamType {
		return r.readStream(response.Body)
	}
	return r.readWhole(response)
}

// readWhole verifies that the answer is this request's and as long as it says
// and was asked for.
func (r *answerReader) readWhole(response *http.Response) result {
	text, err := io.ReadAll(io.LimitReader(response.Body, api.MaxReplicaAnswer))
	if err != nil {
		return result{outcome: string(api.OutcomeUnknown), code: codeBroken, detail: err.Error()}
	}
	got := result{outcome: string(api.OutcomeSuccess), firstMS: r.session.elapsed()}
	var answer api.GenerateAnswer
	if err := json.Unmarshal(text, &answer); err != nil {
		got.detail = "a body that does not decode: " + err.Error()
		return got
	}
	got.run, got.replica, got.version = answer.RunID, answer.Replica, answer.ConfigurationVersion
	got.tokens, got.cached = answer.Tokens, answer.CachedTokens
	got.detail = r.wholeProblem(text, answer)
	return got
}

func (r *answerReader) wholeProblem(text []byte, answer api.GenerateAnswer) string {
	request := r.session.arrival.Generate
	var failed api.ErrorBody
	words := len(strings.Fields(answer.Text))
	switch {
	case json.Unmarshal(text, &failed) == nil && failed.Error != nil:
		return "an error inside"
	case request.Stream:
		return "a whole answer in place of a stream"
	case answer.RequestID != request.RequestID:
		return "the answer of " + answer.RequestID
	case answer.RunID == "":
		return "no run id"
	case answer.Tokens != request.MaxTokens:
		return fmt.Sprintf("%d of %d tokens", answer.Tokens, request.MaxTokens)
	case words != answer.Tokens:
		return fmt.Sprintf("%d words for %d tokens", words, answer.Tokens)
	}
	return ""
}

// readStream logs every event and verifies identity, order and end.
func (r *answerReader) readStream(body io.Reader) result {
	r.last = r.session.start
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), api.MaxStreamLine)
	name := ""
	for scanner.Scan() {
		line := scanner.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			name = event
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if hangUp := r.streamEvent(name, []byte(data)); hangUp {
			return r.abandon()
		}
	}
	return r.streamResult(scanner.Err())
}

// streamEvent takes one event and reports whether this caller hangs up after it.
func (r *answerReader) streamEvent(name string, data []byte) (hangUp bool) {
	if r.ended || r.failure != nil {
		r.problem("an event after the last one")
		return false
	}
	switch name {
	case api.EventPiece:
		return r.piece(data)
	case api.EventEnd:
		r.end(data)
	case api.EventError:
		r.streamError(data)
	default:
		r.problem("an event named " + name)
	}
	return false
}

// problem keeps the first problem found.
func (r *answerReader) problem(text string) {
	if r.got.detail == "" {
		r.got.detail = text
	}
}

func (r *answerReader) piece(data []byte) (hangUp bool) {
	var piece api.StreamChunk
	if err := json.Unmarshal(data, &piece); err != nil {
		r.problem("an event that does not decode")
		return false
	}
	now := time.Now()
	if r.pieces == 0 {
		r.got.firstMS = r.session.elapsed()
	} else {
		r.got.maxGapMS = max(r.got.maxGapMS, milliseconds(now.Sub(r.last)))
	}
	r.last = now
	r.pieces++
	if piece.RequestID != r.session.arrival.Generate.RequestID {
		r.problem("an event of " + piece.RequestID)
	}
	r.got.run = piece.RunID
	r.got.tokens += piece.Tokens
	line := r.session.event(eventlog.CallerPiece)
	line.Attempt, line.Gateway, line.Run, line.Sequence = r.attempt, r.gateway, piece.RunID, piece.Sequence
	r.session.pool.config.Log.Write(line)
	return r.session.plan.abandon && r.pieces >= abandonAfter
}

func (r *answerReader) end(data []byte) {
	r.ended = true
	var end api.StreamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		r.problem("an end that does not decode")
		return
	}
	r.got.sequence, r.got.cached = end.Sequence, end.CachedTokens
	request := r.session.arrival.Generate
	switch {
	case end.RequestID != request.RequestID:
		r.problem("the end of " + end.RequestID)
	case end.RunID != r.got.run:
		r.problem("the end of run " + end.RunID)
	case end.Tokens != request.MaxTokens || r.got.tokens != end.Tokens:
		r.problem(fmt.Sprintf("%d tokens, %d announced, %d asked for", r.got.tokens, end.Tokens, request.MaxTokens))
	}
}

func (r *answerReader) streamError(data []byte) {
	var body api.ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		r.failure = body.Error
		return
	}
	var failure api.Error
	if err := json.Unmarshal(data, &failure); err != nil || failure.Outcome == "" {
		failure = api.Error{Code: codeBroken, Outcome: api.OutcomeUnknown, Message: "an error event without a typed error"}
	}
	r.failure = &failure
}

func (r *answerReader) streamResult(err error) result {
	switch {
	case r.failure != nil:
		failed := outcomeOf(r.failure)
		failed.run, failed.tokens, failed.firstMS = r.got.run, r.got.tokens, r.got.firstMS
		if err == nil {
			failed.detail = checker.DetailCleanEnd
		}
		return failed
	case r.ended:
		r.got.outcome = string(api.OutcomeSuccess)
	case err != nil:
		r.got.outcome, r.got.code = string(api.OutcomeUnknown), codeBroken
		r.problem(err.Error())
	default:
		// A clean close without an end event looks finished to a simple reader.
		r.got.outcome = string(api.OutcomeSuccess)
		r.problem("a clean close without an end event")
	}
	return r.got
}

func (r *answerReader) abandon() result {
	line := r.session.event(eventlog.CallerAbandoned)
	line.Attempt, line.Gateway, line.Run = r.attempt, r.gateway, r.got.run
	r.session.pool.config.Log.Write(line)
	r.got.outcome, r.got.code = string(api.OutcomeUnknown), codeAbandoned
	return r.got
}
