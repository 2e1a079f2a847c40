// Package apierror makes the errors that control nodes answer operators with.
package apierror

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// RetryAfter is the delay after which a request that found no primary is worth
// another attempt.
const RetryAfter = 300 * time.Millisecond

// Invalid rejects a request because of a field, which is empty if none is at fault.
func Invalid(field, message string) *api.Error {
	return &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: message, Field: field}
}

// TooLarge rejects a request because of a size limit. The field may be empty.
func TooLarge(field, message string) *api.Error {
	return &api.Error{Code: api.CodeTooLarge, Outcome: api.OutcomeRefused, Field: field, Message: message}
}

// Internal reports a defect of the control node. What became of the request is unknown.
func Internal(err error) *api.Error {
	return &api.Error{Code: api.CodeInternal, Outcome: api.OutcomeUnknown, Message: err.Error()}
}

// NoPrimary reports that no primary could be reached. The outcome says whether
// the request may have been executed all the same.
func NoPrimary(message string, outcome api.Outcome) *api.Error {
	return retryable(api.CodeNoPrimary, outcome, message)
}

// Pending reports that a request may have been executed, but is not known to be
// in force everywhere.
func Pending(message string) *api.Error {
	return retryable(api.CodePending, api.OutcomeUnknown, message)
}

// NotReady reports that this node does not serve yet.
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
