package routing

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// rejection returns the error of a request that was not executed and will not be.
func rejection(request *Request, code api.Code, retryAfter time.Duration, format string, arguments ...any) *api.Error {
	return &api.Error{
		Code:         code,
		Outcome:      api.OutcomeRefused,
		Message:      fmt.Sprintf(format, arguments...),
		Retry:        retryAfter > 0,
		RetryAfterMS: retryAfter.Milliseconds(),
		RequestID:    request.ID,
	}
}

// invalidFieldError returns the error for a request with an invalid field.
func invalidFieldError(requestID, field, format string, arguments ...any) *api.Error {
	return &api.Error{
		Code:      api.CodeInvalid,
		Outcome:   api.OutcomeRefused,
		Message:   fmt.Sprintf(format, arguments...),
		Field:     field,
		RequestID: requestID,
	}
}
