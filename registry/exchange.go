package registry

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// DefaultServerTimeout is how long a requestor or forwarder waits for one server.
const DefaultServerTimeout = 2 * time.Second

// ErrNoServer means that no server gave a conclusive answer (section 4.6).
var ErrNoServer = errors.New("registry: no server gave a conclusive answer")

// Exchanger sends an update to one server and returns its answer. An error means
// that no answer was received: the update may or may not have been applied. hops is
// the number of times that the update has been forwarded.
type Exchanger interface {
	Exchange(ctx context.Context, server string, hops int, update *Update) (Result, error)
}

// ServerError reports that a server gave no conclusive answer.
type ServerError struct {
	Server string
	// Code is the server's inconclusive answer, or NoError if there was no answer.
	Code ResponseCode
	// Err is the reason why there was no answer, or nil if there was one.
	Err error
}

// Error names the server and the cause.
func (e *ServerError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("server %s: %v", e.Server, e.Err)
	}
	return fmt.Sprintf("server %s answered %s", e.Server, e.Code)
}

// Unwrap returns the reason why there was no answer, or nil if there was one.
func (e *ServerError) Unwrap() error { return e.Err }

// serverSequence tries servers in order.
type serverSequence struct {
	exchanger Exchanger
	timeout   time.Duration // for one server; 0 selects DefaultServerTimeout
	hops      int
	// conclusive reports whether an answer ends the sequence; otherwise the next
	// server is tried.
	conclusive func(ResponseCode) bool
}

// send returns the first conclusive answer. If there is none, the code is ServFail and
// the error wraps ErrNoServer and a *ServerError for each server tried.
func (s *serverSequence) send(ctx context.Context, servers []string, update *Update) (Result, error) {
	failures := []error{ErrNoServer}
	for _, server := range servers {
		result, err := s.exchange(ctx, server, update)
		if err == nil && s.conclusive(result.Code) {
			return result, nil
		}
		failures = append(failures, &ServerError{Server: server, Code: result.Code, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return unanswered(), errors.Join(failures...)
}

// exchange sends the update to one server and waits at most the timeout for its answer.
func (s *serverSequence) exchange(ctx context.Context, server string, update *Update) (Result, error) {
	timeout := s.timeout
	if timeout <= 0 {
		timeout = DefaultServerTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.exchanger.Exchange(bounded, server, s.hops, update)
}

// unanswered is the result of an update that no server answered (section 2.2).
func unanswered() Result { return Result{Code: ServFail, FailedIndex: noFailedRecord} }
