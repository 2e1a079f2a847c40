package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// DefaultServerTimeout is how long a requestor or forwarder waits for one server.
const DefaultServerTimeout = 2 * time.Second

// ErrNoServer means that no server gave a usable answer (section 4.6).
var ErrNoServer = errors.New("registry: no server left to try")

// Exchanger sends an update to one server and returns its answer. An error means
// that no answer came: the update may or may not have been applied.
type Exchanger interface {
	Exchange(ctx context.Context, server string, hops int, update *Update) (Result, error)
}

// Requestor sends updates as in section 4. It keeps no state between updates.
type Requestor struct {
	Exchanger Exchanger
	// Timeout bounds the wait for one server. Default DefaultServerTimeout.
	Timeout time.Duration
}

// ServerError says why a server was given up.
type ServerError struct {
	Server string
	// Code is the answer that ruled it out, NoError if none came.
	Code ResponseCode
	// Err is why no answer came, nil if one did.
	Err error
}

// Error names the server and the cause.
func (e *ServerError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("server %s: %v", e.Server, e.Err)
	}
	return fmt.Sprintf("server %s answered %s", e.Server, e.Code)
}

// Unwrap returns why no answer came.
func (e *ServerError) Unwrap() error { return e.Err }

// ServerOrder returns the servers named by the member records of a view, the
// primary first if it is one of them (section 4.3).
func ServerOrder(view View) []string {
	var servers []string
	for _, record := range view.Lookup(view.Apex(), TypeNS) {
		servers = append(servers, string(record.Data))
	}
	primary := slices.Index(servers, view.SOA().Primary)
	if primary > 0 {
		servers = slices.Concat(servers[primary:primary+1], servers[:primary], servers[primary+1:])
	}
	return servers
}

// Send tries the servers in order until one answers with another code than
// ServFail or NotImp (sections 4.4 to 4.6). The error wraps ErrNoServer and one
// *ServerError for each server tried. After an error, or a prerequisite's code on
// any server but the first, the update may have been applied by an earlier try:
// only a marker in the update tells (section 5.3).
func (r *Requestor) Send(ctx context.Context, servers []string, update *Update) (Result, error) {
	failures := []error{ErrNoServer}
	for _, server := range servers {
		result, err := exchange(ctx, r.Exchanger, r.Timeout, server, 0, update)
		if err == nil && result.Code != ServFail && result.Code != NotImp {
			return result, nil
		}
		failures = append(failures, &ServerError{Server: server, Code: result.Code, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return Result{Code: ServFail, FailedIndex: -1}, errors.Join(failures...)
}

// exchange asks one server within the time-out.
func exchange(ctx context.Context, exchanger Exchanger, timeout time.Duration, server string, hops int, update *Update) (Result, error) {
	if timeout <= 0 {
		timeout = DefaultServerTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return exchanger.Exchange(bounded, server, hops, update)
}
