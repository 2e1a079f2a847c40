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
)

const streamType = "text/event-stream"

// answerReader reads and verifies the body of one response with status 200.
type answerReader struct {
	session *session
	attempt int
	gateway string

	// The following fields are the state of a stream.
	got       result
	lastChunk time.Time
	chunks    int
	failure   *api.Error // from an error event, if any
	ended     bool       // by an end event
}

func (r *answerReader) read(response *http.Response) result {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err == nil && kind == streamType {
		return r.readStream(response.Body)
	}
	return r.readBody(response.Body)
}

// readBody verifies an answer that is not a stream: it must belong to this request, and its
// length must match both the stated and the requested number of tokens.
func (r *answerReader) readBody(body io.Reader) result {
	text, err := io.ReadAll(io.LimitReader(body, api.MaxReplicaAnswer))
	if err != nil {
		return result{outcome: string(api.OutcomeUnknown), code: codeBroken, detail: err.Error()}
	}
	got := result{outcome: string(api.OutcomeSuccess), firstTokenMS: r.session.elapsed()}
	var answer api.GenerateAnswer
	if err := json.Unmarshal(text, &answer); err != nil {
		got.detail = "a body that does not decode: " + err.Error()
		return got
	}
	got.run, got.replica, got.version = answer.RunID, answer.Replica, answer.ConfigurationVersion
	got.tokens, got.cachedTokens = answer.Tokens, answer.CachedTokens
	got.detail = r.faultOf(text, answer)
	return got
}

// faultOf describes the first fault in an answer. It returns "" if the answer is correct.
func (r *answerReader) faultOf(text []byte, answer api.GenerateAnswer) string {
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

// initialLineBytes is the initial size of the line buffer of a stream.
const initialLineBytes = 4096

// readStream logs every chunk of the stream and verifies its request ID, its run ID, its
// number of tokens and how it ends.
func (r *answerReader) readStream(body io.Reader) result {
	r.lastChunk = r.session.start
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), api.MaxStreamLine)
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
		if abandon := r.readEvent(name, []byte(data)); abandon {
			return r.abandon()
		}
	}
	return r.streamResult(scanner.Err())
}

// readEvent verifies one event. It reports whether the caller now abandons the stream.
func (r *answerReader) readEvent(name string, data []byte) (abandon bool) {
	if r.ended || r.failure != nil {
		r.addFault("an event after the last one")
		return false
	}
	switch name {
	case api.EventChunk:
		return r.readChunk(data)
	case api.EventEnd:
		r.readEnd(data)
	case api.EventError:
		r.readStreamError(data)
	default:
		r.addFault("an event named " + name)
	}
	return false
}

// addFault records a fault of the answer. Only the first one is retained.
func (r *answerReader) addFault(text string) {
	if r.got.detail == "" {
		r.got.detail = text
	}
}

func (r *answerReader) readChunk(data []byte) (abandon bool) {
	var chunk api.StreamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		r.addFault("an event that does not decode")
		return false
	}
	r.measure(time.Now())
	r.chunks++
	if chunk.RequestID != r.session.arrival.Generate.RequestID {
		r.addFault("an event of " + chunk.RequestID)
	}
	r.got.run = chunk.RunID
	r.got.tokens += chunk.Tokens
	r.session.logChunk(r.attempt, r.gateway, chunk)
	return r.session.treatment.abandon && r.chunks >= abandonAfter
}

// measure updates the latency figures with the arrival time of a chunk.
func (r *answerReader) measure(now time.Time) {
	if r.chunks == 0 {
		r.got.firstTokenMS = r.session.elapsed()
	} else {
		r.got.maxGapMS = max(r.got.maxGapMS, milliseconds(now.Sub(r.lastChunk)))
	}
	r.lastChunk = now
}

func (r *answerReader) readEnd(data []byte) {
	r.ended = true
	var end api.StreamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		r.addFault("an end that does not decode")
		return
	}
	r.got.sequence, r.got.cachedTokens = end.Sequence, end.CachedTokens
	request := r.session.arrival.Generate
	switch {
	case end.RequestID != request.RequestID:
		r.addFault("the end of " + end.RequestID)
	case end.RunID != r.got.run:
		r.addFault("the end of run " + end.RunID)
	case end.Tokens != request.MaxTokens || r.got.tokens != end.Tokens:
		r.addFault(fmt.Sprintf("%d tokens, %d announced, %d asked for", r.got.tokens, end.Tokens, request.MaxTokens))
	}
}

// readStreamError reads an error event. The error may be wrapped in an api.ErrorBody or
// not.
func (r *answerReader) readStreamError(data []byte) {
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

// streamResult returns the result of a stream. The error err is that of reading the body,
// or nil if the connection was closed cleanly.
func (r *answerReader) streamResult(err error) result {
	switch {
	case r.failure != nil:
		failed := resultOf(r.failure)
		failed.run, failed.tokens, failed.firstTokenMS = r.got.run, r.got.tokens, r.got.firstTokenMS
		if err == nil {
			failed.detail = checker.DetailCleanEnd
		}
		return failed
	case r.ended:
		r.got.outcome = string(api.OutcomeSuccess)
	case err != nil:
		r.got.outcome, r.got.code = string(api.OutcomeUnknown), codeBroken
		r.addFault(err.Error())
	default:
		// A simple client would take a clean close without an end event for a complete
		// stream.
		r.got.outcome = string(api.OutcomeSuccess)
		r.addFault("a clean close without an end event")
	}
	return r.got
}

func (r *answerReader) abandon() result {
	r.session.logAbandoned(r.attempt, r.gateway, r.got.run)
	r.got.outcome, r.got.code = string(api.OutcomeUnknown), codeAbandoned
	return r.got
}
