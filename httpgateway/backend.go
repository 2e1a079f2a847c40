package httpgateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/upstream"
)

const (
	// lowestPriority is the largest value of the priority header, for the least urgent
	// requests; 0 is the most urgent.
	lowestPriority = 9
	// idleSweepInterval is the interval at which expired idle connections are closed.
	idleSweepInterval = time.Second
)

var (
	// errMismatchedResponse reports a response that echoes the ID of another request, or a
	// successful one that echoes no ID.
	errMismatchedResponse = errors.New("response does not echo the request ID")
	// errRejected reports that a replica rejected the request without running it.
	errRejected = errors.New("replica rejected the request without running it")
)

// backend sends attempts to replicas over HTTP/1.1. It implements dispatch.Backend.
type backend struct {
	pool    *upstream.Pool
	headers Headers
}

// newBackend returns a backend. After each new connection it calls onConnect, if set,
// with the time that it took to connect.
func newBackend(headers Headers, onConnect func(address string, took time.Duration)) *backend {
	return &backend{pool: upstream.NewPool(upstream.Config{OnConnect: onConnect}), headers: headers}
}

// LastReceived implements dispatch.Backend.
func (b *backend) LastReceived(address string) time.Time { return b.pool.LastReceived(address) }

// HasIdleConnection implements dispatch.Backend.
func (b *backend) HasIdleConnection(address string) bool { return b.pool.HasIdleConnection(address) }

// CloseIdleConnections implements dispatch.Backend.
func (b *backend) CloseIdleConnections(address string) { b.pool.CloseIdleConnections(address) }

// Send implements dispatch.Backend.
func (b *backend) Send(ctx context.Context, attempt *dispatch.Attempt) (*dispatch.Response, error) {
	response, err := b.pool.Do(ctx, attempt.Replica.Address, b.newRequest(attempt), attempt.Request.Body)
	if err != nil {
		return nil, attemptError(err)
	}
	if err := b.checkResponse(response, attempt.Request.ID); err != nil {
		response.Body.Close()
		return nil, err
	}
	return &dispatch.Response{
		Status:      response.StatusCode,
		Header:      response.Header,
		Body:        response.Body,
		EventStream: strings.HasPrefix(response.Header.Get("Content-Type"), contentTypeEvents),
	}, nil
}

// attemptError converts an error of the connection pool. The attempt is unsent only if no
// part of the request can have reached the replica; otherwise it is indeterminate.
func attemptError(err error) *dispatch.AttemptError {
	reason := dispatch.FailureIndeterminate
	var requestErr *upstream.RequestError
	if errors.As(err, &requestErr) && !requestErr.Sent {
		reason = dispatch.FailureUnsent
	}
	var networkErr net.Error
	noResponse := errors.As(err, &networkErr) && networkErr.Timeout()
	return &dispatch.AttemptError{Reason: reason, NoResponse: noResponse, Err: err}
}

// newRequest returns the request to send to the replica: the client's request with the
// headers that the gateway sets for this attempt.
func (b *backend) newRequest(attempt *dispatch.Attempt) *http.Request {
	header := attempt.Request.Header.Clone()
	remaining := max(1, time.Until(attempt.Deadline).Milliseconds())
	header.Set(b.headers.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(b.headers.Replica, attempt.Replica.ID)
	header.Set(b.headers.Priority, strconv.Itoa(min(max(attempt.Priority, 0), lowestPriority)))
	if attempt.LastEventID != "" {
		header.Set(headerLastEventID, attempt.LastEventID)
	}
	return &http.Request{
		Method:     attempt.Request.Method,
		RequestURI: attempt.Request.Target,
		Host:       attempt.Request.Host,
		Header:     header,
	}
}

// checkResponse returns an error if a response rejects the request or does not belong to
// the request with the given ID. It compares the ID first: the rejection of another
// request says nothing about this one, which may have run.
func (b *backend) checkResponse(response *http.Response, id string) error {
	echoed := response.Header.Get(b.headers.RequestID)
	if echoed != "" && echoed != id {
		return &dispatch.AttemptError{Reason: dispatch.FailureIndeterminate, Err: errMismatchedResponse}
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &dispatch.AttemptError{Reason: dispatch.FailureReplaced, Err: errRejected}
	}
	rejected := response.Header.Get(b.headers.NotExecuted) != "" && response.StatusCode != http.StatusBadRequest
	if rejected {
		return &dispatch.AttemptError{Reason: dispatch.FailureRejected, RetryAfter: retryAfter(response.Header), Err: errRejected}
	}
	if echoed == "" && response.StatusCode < http.StatusMultipleChoices {
		return &dispatch.AttemptError{Reason: dispatch.FailureIndeterminate, Err: errMismatchedResponse}
	}
	return nil
}

// retryAfter returns the value of a response's Retry-After header, or 0 if it is missing
// or invalid. Unlike in standard HTTP, the number of seconds may have a fraction.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get(headerRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// closeExpiredConnections closes expired idle connections periodically until ctx ends.
func (b *backend) closeExpiredConnections(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.pool.CloseExpired(now)
		}
	}
}
