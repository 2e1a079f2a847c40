package routing

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// rejection builds the error of a request that never ran and never will.
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

func invalid(requestID, field, format string, arguments ...any) *api.Error {
	return &api.Error{
		Code:      api.CodeInvalid,
		Outcome:   api.OutcomeRefused,
		Message:   fmt.Sprintf(format, arguments...),
		Field:     field,
		RequestID: requestID,
	}
}
