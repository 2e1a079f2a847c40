package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/stream"
)

// standing says what is known after an attempt.
type standing uint8

const (
	// stoodDone means that the result has been delivered, whatever it is.
	stoodDone standing = iota + 1
	// stoodNotStarted means that the attempt never ran and never will.
	stoodNotStarted
	// stoodStale is stoodNotStarted by a replica that has seen a newer configuration.
	stoodStale
	// stoodRestarted is stoodNotStarted by a replica of another incarnation than
	// the one placed on.
	stoodRestarted
	// stoodBroken means that the attempt may have run; the caller has seen nothing of it.
	stoodBroken
)

// verdict is the outcome of an attempt, in one place or in a whole region.
type verdict struct {
	standing standing
	failure  *api.Error
	// local means that nothing reached the replica for a reason of our own.
	local bool
	// unsent means that not one byte left for the replica.
	unsent bool
}

// settled is the verdict on a whole region: why an attempt was not started does
// not matter there.
func (v verdict) settled() verdict {
	if v.standing == stoodStale || v.standing == stoodRestarted {
		v.standing = stoodNotStarted
	}
	return v
}

func failed(code api.Code, outcome api.Outcome, format string, arguments ...any) *api.Error {
	return &api.Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, arguments...)}
}

// refusedLater is a refusal that may be retried after comeBack.
func refusedLater(code api.Code, format string, arguments ...any) *api.Error {
	failure := failed(code, api.OutcomeRefused, format, arguments...)
	failure.Retry = true
	failure.RetryAfterMS = comeBack.Milliseconds()
	return failure
}

func broken(failure *api.Error) verdict {
	return verdict{standing: stoodBroken, failure: failure}
}

// connectionBroke tells that an answer may have stopped because its replica did.
func connectionBroke(outcome verdict) bool {
	if outcome.standing != stoodBroken {
		return false
	}
	return outcome.failure.Code == api.CodeReplicaBroken || outcome.failure.Code == api.CodeReplicaIncomplete
}

// decodeOne reads exactly one JSON value.
func decodeOne(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// wholeLength tells whether the end of the body can be told from a broken
// connection.
func wholeLength(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// readFailure classifies an error while a whole body was read.
func readFailure(err error) *api.Error {
	switch {
	case errors.Is(err, errTooLong):
		return failed(api.CodeReplicaError, api.OutcomeFailed, "the replica's answer is too long")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return failed(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer is shorter than announced")
	default:
		return failed(api.CodeReplicaBroken, api.OutcomeUnknown, "the connection to the replica broke")
	}
}

// replicaAnswer is a whole answer, or an error that hides in one.
type replicaAnswer struct {
	api.GenerateAnswer
	Error json.RawMessage `json:"error"`
}

// checkAnswer reads a whole answer and checks that it is one, and this
// request's. Anything else is an error.
func checkAnswer(response *http.Response, requestID string) (*api.GenerateAnswer, *api.Error) {
	if !wholeLength(response) {
		return nil, failed(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer has no length")
	}
	body, err := readBounded(response.Body, api.MaxReplicaAnswer)
	if err != nil {
		return nil, readFailure(err)
	}
	var answer replicaAnswer
	if err := decodeOne(body, &answer); err != nil {
		return nil, failed(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer is not whole JSON")
	}
	if len(answer.Error) > 0 && string(answer.Error) != "null" {
		return nil, failed(api.CodeReplicaError, api.OutcomeFailed, "the replica answered success with an error in it")
	}
	if answer.RequestID != requestID && !planted.Active(planted.AcceptWrongID) {
		return nil, failed(api.CodeReplicaMismatch, api.OutcomeUnknown, "the replica answered another request")
	}
	if answer.RunID == "" || answer.Tokens <= 0 {
		return nil, failed(api.CodeReplicaIncomplete, api.OutcomeFailed, "the replica's answer lacks its run or its tokens")
	}
	return &answer.GenerateAnswer, nil
}

// checkError judges an answer that is not a success. Only the replica's own
// typed refusal of this very request counts as never run.
func checkError(response *http.Response, requestID string) verdict {
	body, err := readBounded(response.Body, maxReplicaErrorBody)
	if err != nil {
		return broken(readFailure(err))
	}
	var wrapped api.ErrorBody
	if err := decodeOne(body, &wrapped); err != nil || wrapped.Error == nil || wrapped.Error.Code == "" {
		return broken(failed(api.CodeReplicaError, api.OutcomeUnknown, "the replica answered status %d", response.StatusCode))
	}
	failure := wrapped.Error
	if failure.RequestID != requestID {
		return broken(failed(api.CodeReplicaMismatch, api.OutcomeUnknown, "the replica answered another request with status %d", response.StatusCode))
	}
	if failure.Outcome == api.OutcomeRefused && response.StatusCode >= http.StatusBadRequest {
		switch failure.Code {
		case api.CodeStale:
			return verdict{standing: stoodStale, failure: failure}
		case api.CodeRestarted:
			return verdict{standing: stoodRestarted, failure: failure}
		}
		return verdict{standing: stoodNotStarted, failure: failure}
	}
	outcome := api.OutcomeUnknown
	if failure.Outcome == api.OutcomeFailed {
		outcome = api.OutcomeFailed
	}
	return broken(failed(api.CodeReplicaError, outcome, "the replica answered status %d, %s", response.StatusCode, failure.Code))
}

// streamFailure turns the fault of a stream into the caller's error. A stream of
// which a piece came has run.
func streamFailure(err error, pieces int) *api.Error {
	outcome := api.OutcomeUnknown
	if pieces > 0 {
		outcome = api.OutcomeFailed
	}
	var fault *stream.ReadError
	if errors.As(err, &fault) {
		return failed(fault.Code, outcome, "the replica's stream broke: %s", fault.Reason)
	}
	return failed(api.CodeReplicaBroken, outcome, "the replica's stream broke")
}

func isStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == stream.ContentType
}
