package routing

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// rejection returns the error of a request that never ran and never will.
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

// invalid returns the error of a request with an invalid field.
func invalid(requestID, field, format string, arguments ...any) *api.Error {
	return &api.Error{
		Code:      api.CodeInvalid,
		Outcome:   api.OutcomeRefused,
		Message:   fmt.Sprintf(format, arguments...),
		Field:     field,
		RequestID: requestID,
	}
}
