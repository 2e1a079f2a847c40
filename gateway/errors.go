package gateway

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// defaultRetryAfter is the delay that callers are advised to wait before they retry
// after a transient failure.
const defaultRetryAfter = 500 * time.Millisecond

// newError returns an API error with a formatted message.
func newError(code api.Code, outcome api.Outcome, format string, arguments ...any) *api.Error {
	return &api.Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, arguments...)}
}

// newRetryableError returns an error with api.OutcomeRefused that advises the caller to
// retry after defaultRetryAfter.
func newRetryableError(code api.Code, format string, arguments ...any) *api.Error {
	failure := newError(code, api.OutcomeRefused, format, arguments...)
	failure.Retry = true
	failure.RetryAfterMS = defaultRetryAfter.Milliseconds()
	return failure
}

// newInvalidError returns the error for a request in which one field is invalid.
func newInvalidError(field, format string, arguments ...any) *api.Error {
	failure := newError(api.CodeInvalid, api.OutcomeRefused, format, arguments...)
	failure.Field = field
	return failure
}
