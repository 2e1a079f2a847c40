package httpgateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/upstream"
)

const (
	// lowestPriority is the largest value of the priority header; 0 is the most urgent.
	lowestPriority = 9
	// reapInterval is the time between two sweeps for expired idle connections.
	reapInterval = time.Second
)

var (
	// errMismatchedResponse is a response to another request, or to none.
	errMismatchedResponse = errors.New("response belongs to another request")
	// errRejected is a replica's statement that the request has not run.
	errRejected = errors.New("replica rejected the request")
)

// backend sends attempts to replicas over HTTP/1.1. It implements dispatch.Backend.
type backend struct {
	pool    *upstream.Pool
	headers Headers
}

// newBackend returns a backend that calls onConnect with the duration of each
// connection's setup.
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

// attemptError classifies an error of the connection pool.
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

// newRequest returns the request as it is sent to the replica.
func (b *backend) newRequest(attempt *dispatch.Attempt) *http.Request {
	header := attempt.Request.Header.Clone()
	remaining := max(1, time.Until(attempt.Deadline).Milliseconds())
	header.Set(b.headers.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(b.headers.Replica, attempt.Replica.ID)
	header.Set(b.headers.Priority, strconv.Itoa(min(max(attempt.Priority, 0), lowestPriority)))
	if attempt.LastEventID != "" {
		header.Set(headerLastEventID, attempt.LastEventID)
	}
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = nil // keeps net/http from adding one
	}
	return &http.Request{
		Method: attempt.Request.Method,
		URL:    &url.URL{Scheme: "http", Host: attempt.Request.Host, Opaque: attempt.Request.Target},
		Host:   attempt.Request.Host,
		Header: header,
	}
}

// checkResponse returns an error if a response is a rejection of the request, or not a
// response to the request with this id. The id is compared first, so that the rejection
// of another request does not count as that of this one, which may have run.
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

// retryAfter returns the Retry-After of a response, 0 if it has none that is valid.
// Unlike in HTTP, the seconds may have a fraction.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get(headerRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// reap closes expired idle connections until ctx ends.
func (b *backend) reap(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
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
