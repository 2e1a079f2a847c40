package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

// transaction is one request with all of its attempts. Its fields belong to the
// goroutine that serves the request.
type transaction struct {
	dispatcher *Dispatcher
	snapshot   *snapshot
	route      *routemap.Route
	request    *Request
	client     ResponseWriter
	// service is the name of the service that the route's weights selected.
	service  string
	deadline time.Time

	// tried are the replicas of the attempts so far, by id.
	tried map[string]bool
	// budgeted says that the retry budget has counted the request.
	budgeted bool
	// attempts counts the attempts that may have run, unsent those that did not reach a
	// replica, and rejections those that a replica rejected.
	attempts   int
	unsent     int
	rejections int
	// responseStarted says that the client has a part of the response, and lastEventID
	// is the id of the last event of it.
	responseStarted bool
	lastEventID     string
}

// Serve forwards one request. It returns nil if a whole response was relayed, even if
// that is an error of the replica, and otherwise why not. It returns no later than the
// route's timeout and the client's.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, client ResponseWriter) *RequestError {
	requestErr := d.serve(ctx, request, client)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.counts.Requests++
	if requestErr == nil {
		d.counts.Served++
	} else {
		d.counts.Rejected[requestErr.Code]++
	}
	return requestErr
}

func (d *Dispatcher) serve(ctx context.Context, request *Request, client ResponseWriter) *RequestError {
	current := d.awaitSnapshot(ctx)
	if current == nil {
		return &RequestError{Code: CodeNotReady, RetryAfter: notReadyRetryAfter}
	}
	route := current.routes.Lookup(request.Host, request.Path)
	if route == nil {
		return &RequestError{Code: CodeNoRoute}
	}
	timeout := route.Timeout
	if request.ClientTimeout > 0 {
		timeout = min(timeout, request.ClientTimeout)
	}
	t := &transaction{
		dispatcher: d,
		snapshot:   current,
		route:      route,
		request:    request,
		client:     client,
		service:    route.Pick(d.options.Random()),
		deadline:   request.Arrived.Add(timeout),
		tried:      make(map[string]bool),
	}
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	return t.run(ctx)
}

// run makes attempts until one has a whole response or no other may be made.
func (t *transaction) run(ctx context.Context) *RequestError {
	for {
		if requestErr := t.checkDone(ctx); requestErr != nil {
			return requestErr
		}
		attempt, requestErr := t.place()
		if requestErr != nil {
			return t.finalize(requestErr)
		}
		if attempt, requestErr = t.confirm(ctx, attempt); requestErr != nil {
			return t.finalize(requestErr)
		}
		retry, requestErr := t.send(ctx, attempt)
		if requestErr != nil {
			return t.finalize(requestErr)
		}
		if !retry {
			return nil
		}
	}
}

// checkDone returns an error if the deadline has passed or the client has closed its
// connection.
func (t *transaction) checkDone(ctx context.Context) *RequestError {
	err := ctx.Err()
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, context.DeadlineExceeded):
		return &RequestError{Code: CodeClientClosed, ResponseStarted: t.responseStarted}
	case t.attempts > 0:
		return &RequestError{Code: CodeTimedOut, ResponseStarted: t.responseStarted}
	default:
		return &RequestError{Code: CodeExpiredUnsent, ResponseStarted: t.responseStarted}
	}
}

// finalize makes an error honest: it does not say of a request that may have run that
// it has not.
func (t *transaction) finalize(requestErr *RequestError) *RequestError {
	requestErr.ResponseStarted = t.responseStarted
	if t.attempts > 0 && requestErr.Code.hasNotRun() {
		requestErr.Code = CodeOutcomeUnknown
		requestErr.RetryAfter = 0
	}
	return requestErr
}
