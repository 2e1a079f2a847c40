package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

// transaction is one request with all of its attempts. Only the goroutine that serves the
// request uses its fields.
type transaction struct {
	dispatcher *Dispatcher
	snapshot   *snapshot
	route      *routemap.Route
	request    *Request
	client     ResponseWriter
	// service is the name of the service that the route's weights selected.
	service  string
	deadline time.Time

	// tried holds the ids of the replicas of the attempts so far.
	tried map[string]bool
	// countedInBudget is set once the retry budget has counted the request.
	countedInBudget bool
	// possibleRuns counts the attempts that may have run, unsentAttempts those that did not
	// reach a replica, and rejections those that a replica rejected.
	possibleRuns   int
	unsentAttempts int
	rejections     int
	// responseStarted is set once a part of the response was sent to the client, and
	// lastEventID is the id of the last event in it.
	responseStarted bool
	lastEventID     string
}

// Serve forwards one request. It returns nil if a complete response was relayed, even if the
// response is an error of the replica, and otherwise an error. It returns at the latest when
// the timeout of the route or that of the client has passed.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, client ResponseWriter) *RequestError {
	requestErr := d.serve(ctx, request, client)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.counts.Requests++
	if requestErr == nil {
		d.counts.Served++
	} else {
		d.counts.Failed[requestErr.Code]++
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
		service:    route.PickService(d.options.Random()),
		deadline:   request.Arrived.Add(timeout),
		tried:      make(map[string]bool),
	}
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	return t.run(ctx)
}

// run makes attempts until one has a complete response or no further attempt is permitted.
func (t *transaction) run(ctx context.Context) *RequestError {
	for {
		if requestErr := t.checkDone(ctx); requestErr != nil {
			return requestErr
		}
		attempt, requestErr := t.place()
		if requestErr != nil {
			return t.finalize(requestErr)
		}
		if attempt, requestErr = t.confirmPlacement(ctx, attempt); requestErr != nil {
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

// checkDone returns an error if the deadline has passed or ctx was canceled, which means
// that the client has closed its connection. Otherwise it returns nil.
func (t *transaction) checkDone(ctx context.Context) *RequestError {
	err := ctx.Err()
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, context.DeadlineExceeded):
		return &RequestError{Code: CodeClientClosed, ResponseStarted: t.responseStarted}
	case t.possibleRuns > 0:
		return &RequestError{Code: CodeTimedOut, ResponseStarted: t.responseStarted}
	default:
		return &RequestError{Code: CodeExpiredUnsent, ResponseStarted: t.responseStarted}
	}
}

// finalize completes the error of a request. If the request may have run but the code states
// that it has not, it replaces the code by CodeOutcomeUnknown.
func (t *transaction) finalize(requestErr *RequestError) *RequestError {
	requestErr.ResponseStarted = t.responseStarted
	if t.possibleRuns > 0 && requestErr.Code.hasNotRun() {
		requestErr.Code = CodeOutcomeUnknown
		requestErr.RetryAfter = 0
	}
	return requestErr
}
