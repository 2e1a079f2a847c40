package client

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
)

// attemptError describes a failed attempt.
type attemptError struct {
	cause *api.Error
	// mayHaveRun is set if the server may have acted on the request.
	mayHaveRun bool
	// retryable is set if another attempt may succeed.
	retryable bool
	// reported is set if the server reported the cause as an api.Error.
	reported bool
}

// indeterminateError describes an exchange that failed after the connection was
// established, so that the server may have acted on the request.
func indeterminateError(address string, err error) *attemptError {
	cause := unreachableError(address, err)
	cause.Outcome = api.OutcomeUnknown
	return &attemptError{cause: cause, mayHaveRun: true, retryable: true}
}

// unreachableError describes a request that was not sent because there was no
// connection to the server.
func unreachableError(address string, err error) *api.Error {
	return &api.Error{
		Code:    api.CodeNoPrimary,
		Outcome: api.OutcomeRefused,
		Message: fmt.Sprintf("no response from %s: %v", address, err),
		Retry:   true,
	}
}

// encodingError describes a request body that cannot be encoded as JSON.
func encodingError(subject string, err error) *api.Error {
	return &api.Error{
		Code:    api.CodeInvalid,
		Outcome: api.OutcomeRefused,
		Message: fmt.Sprintf("encoding the %s: %v", subject, err),
	}
}

// readBody reads the body of a response, at most maxResponseBytes of it.
func readBody(address string, response *http.Response) ([]byte, *attemptError) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, indeterminateError(address, err)
	}
	return body, nil
}

func decodeSuccess(address string, body []byte, into any) *attemptError {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return indeterminateError(address, fmt.Errorf("malformed response body: %w", err))
	}
	return nil
}

// decodeFailure decodes a response without success: an api.ErrorBody, or an
// api.OperationResult with an error.
func decodeFailure(address string, status int, body []byte) *attemptError {
	var decoded api.ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error == nil {
		return indeterminateError(address, fmt.Errorf("HTTP status %d without an error document", status))
	}
	cause := decoded.Error
	return &attemptError{
		cause:      cause,
		mayHaveRun: cause.Outcome != api.OutcomeRefused,
		retryable:  cause.Retry || cause.Code == api.CodePending,
		reported:   true,
	}
}
