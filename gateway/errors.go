package gateway

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// defaultRetryAfter is the retry delay of refusals whose cause is transient.
const defaultRetryAfter = 500 * time.Millisecond

// newError returns an error of the API with a formatted message.
func newError(code api.Code, outcome api.Outcome, format string, arguments ...any) *api.Error {
	return &api.Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, arguments...)}
}

// newRetryableError returns a refusal that the caller may retry after
// defaultRetryAfter.
func newRetryableError(code api.Code, format string, arguments ...any) *api.Error {
	failure := newError(code, api.OutcomeRefused, format, arguments...)
	failure.Retry = true
	failure.RetryAfterMS = defaultRetryAfter.Milliseconds()
	return failure
}

// newInvalidError returns a refusal because of one field of the request.
func newInvalidError(field, format string, arguments ...any) *api.Error {
	failure := newError(api.CodeInvalid, api.OutcomeRefused, format, arguments...)
	failure.Field = field
	return failure
}
