package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/stream"
)

// decodeSingle decodes exactly one JSON value.
func decodeSingle(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// errBodyTooLong means that a response body exceeds its size limit.
var errBodyTooLong = errors.New("gateway: response body is too long")

// readBounded reads a body of at most limit bytes.
func readBounded(source io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLong
	}
	return body, nil
}

// hasDefiniteLength reports whether the framing of the response makes the end of the body
// distinguishable from a broken connection.
func hasDefiniteLength(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// isEventStream reports whether the response is a stream of events.
func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == stream.ContentType
}

// replicaAnswer is the body of a response with a success status. A body with an error is
// not accepted.
type replicaAnswer struct {
	api.GenerateAnswer
	Error json.RawMessage `json:"error"`
}

// readAnswer reads an answer and verifies that it is complete and belongs to the
// request.
func readAnswer(response *http.Response, requestID string) (*api.GenerateAnswer, *api.Error) {
	if !hasDefiniteLength(response) {
		return nil, newError(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer has neither a length nor chunked encoding")
	}
	body, err := readBounded(response.Body, api.MaxReplicaAnswer)
	if err != nil {
		return nil, classifyReadError(err)
	}
	var answer replicaAnswer
	if err := decodeSingle(body, &answer); err != nil {
		return nil, newError(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer is not one complete JSON value")
	}
	if len(answer.Error) > 0 && string(answer.Error) != "null" {
		return nil, newError(api.CodeReplicaError, api.OutcomeFailed, "the replica's response has a success status but contains an error")
	}
	if answer.RequestID != requestID && !planted.Active(planted.AcceptWrongID) {
		return nil, newError(api.CodeReplicaMismatch, api.OutcomeUnknown, "the replica's answer is for another request")
	}
	if answer.RunID == "" || answer.Tokens <= 0 {
		return nil, newError(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer has no run id or no tokens")
	}
	return &answer.GenerateAnswer, nil
}

// classifyErrorResponse classifies a response without a success status. The request is
// known not to have run only if the body is an API error with the outcome refused and the
// id of this request.
func classifyErrorResponse(response *http.Response, requestID string) attemptResult {
	body, err := readBounded(response.Body, maxReplicaErrorBody)
	if err != nil {
		return indeterminate(classifyReadError(err))
	}
	var wrapped api.ErrorBody
	if err := decodeSingle(body, &wrapped); err != nil || wrapped.Error == nil || wrapped.Error.Code == "" {
		return indeterminate(newError(api.CodeReplicaError, api.OutcomeUnknown, "the replica responded with status %d", response.StatusCode))
	}
	failure := wrapped.Error
	if failure.RequestID != requestID {
		return indeterminate(newError(api.CodeReplicaMismatch, api.OutcomeUnknown, "the replica's response with status %d is for another request", response.StatusCode))
	}
	if failure.Outcome == api.OutcomeRefused && response.StatusCode >= http.StatusBadRequest {
		switch failure.Code {
		case api.CodeStale:
			return attemptResult{status: statusStaleConfiguration, failure: failure}
		case api.CodeRestarted:
			return attemptResult{status: statusReplicaRestarted, failure: failure}
		}
		return notStarted(failure)
	}
	outcome := api.OutcomeUnknown
	if failure.Outcome == api.OutcomeFailed {
		outcome = api.OutcomeFailed
	}
	return indeterminate(newError(api.CodeReplicaError, outcome, "the replica responded with status %d and code %s", response.StatusCode, failure.Code))
}

// classifyReadError returns the error for a response body that could not be read.
func classifyReadError(err error) *api.Error {
	switch {
	case errors.Is(err, errBodyTooLong):
		return newError(api.CodeReplicaError, api.OutcomeFailed, "the replica's answer is too long")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return newError(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer is truncated")
	default:
		return newError(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the replica broke")
	}
}

// classifyStreamError returns the error for a stream that broke after the given number of
// chunks. With at least one chunk, the request is known to have run.
func classifyStreamError(err error, chunks int) *api.Error {
	outcome := api.OutcomeUnknown
	if chunks > 0 {
		outcome = api.OutcomeFailed
	}
	var fault *stream.ReadError
	if errors.As(err, &fault) {
		return newError(fault.Code, outcome, "the stream from the replica broke: %s", fault.Reason)
	}
	return newError(api.CodeReplicaBroken, outcome, "the stream from the replica broke")
}
