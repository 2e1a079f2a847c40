// Package apierror constructs the API errors that control nodes return to operators.
package apierror

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// RetryAfter is the delay after which a client should retry a retryable error.
const RetryAfter = 300 * time.Millisecond

// Invalid returns the error for an invalid request. The field is the path of the invalid
// field, empty if no single field is invalid.
func Invalid(field, message string) *api.Error {
	return &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: message, Field: field}
}

// TooLarge returns the error for a request that exceeds a size limit. The field may be
// empty.
func TooLarge(field, message string) *api.Error {
	return &api.Error{Code: api.CodeTooLarge, Outcome: api.OutcomeRefused, Field: field, Message: message}
}

// Internal returns the error for an internal fault of the control node. The outcome of
// the request is unknown.
func Internal(err error) *api.Error {
	return &api.Error{Code: api.CodeInternal, Outcome: api.OutcomeUnknown, Message: err.Error()}
}

// NoPrimary returns the error for a request that reached no primary. The outcome states
// whether the request may have been executed nevertheless.
func NoPrimary(message string, outcome api.Outcome) *api.Error {
	return retryable(api.CodeNoPrimary, outcome, message)
}

// Pending returns the error for a request that may have been executed but is not known
// to be in force everywhere.
func Pending(message string) *api.Error {
	return retryable(api.CodePending, api.OutcomeUnknown, message)
}

// NotReady returns the error of a node that does not serve requests yet.
func NotReady(message string) *api.Error {
	return retryable(api.CodeNotReady, api.OutcomeRefused, message)
}

func retryable(code api.Code, outcome api.Outcome, message string) *api.Error {
	return &api.Error{
		Code:         code,
		Outcome:      outcome,
		Message:      message,
		Retry:        true,
		RetryAfterMS: RetryAfter.Milliseconds(),
	}
}
