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
	// leastUrgent ends the priorities that replicas know; 0 is the most urgent.
	leastUrgent = 9
	// reapInterval is the time between two looks for idle connections.
	reapInterval = time.Second
)

// errOtherRequest is an answer to another request, or to none.
var errOtherRequest = errors.New("the answer belongs to another request")

// errRefused is a replica's word that the request has not run.
var errRefused = errors.New("the replica refused the request")

// backend sends attempts to replicas over HTTP/1.1. It implements dispatch.Backend.
type backend struct {
	pool    *upstream.Pool
	headers Headers
}

func newBackend(headers Headers, connected func(address string, took time.Duration)) *backend {
	return &backend{pool: upstream.NewPool(upstream.Config{OnConnect: connected}), headers: headers}
}

func (b *backend) LastReceived(address string) time.Time { return b.pool.LastReceived(address) }

func (b *backend) HasIdleConnection(address string) bool { return b.pool.HasIdleConnection(address) }

func (b *backend) CloseIdleConnections(address string) { b.pool.CloseIdleConnections(address) }

func (b *backend) Send(ctx context.Context, attempt *dispatch.Attempt) (*dispatch.Response, error) {
	response, err := b.pool.Do(ctx, attempt.Replica.Address, b.outgoing(attempt), attempt.Request.Body)
	if err != nil {
		failure := dispatch.FailureIndeterminate
		var unanswered *upstream.RequestError
		if errors.As(err, &unanswered) && !unanswered.Sent {
			failure = dispatch.FailureUnsent
		}
		var network net.Error
		silent := errors.As(err, &network) && network.Timeout()
		return nil, &dispatch.AttemptError{Reason: failure, NoResponse: silent, Err: err}
	}
	if err := b.judge(response, attempt.Request.ID); err != nil {
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

// outgoing is the request as the replica gets it.
func (b *backend) outgoing(attempt *dispatch.Attempt) *http.Request {
	header := attempt.Request.Header.Clone()
	left := max(1, time.Until(attempt.Deadline).Milliseconds())
	header.Set(b.headers.Deadline, strconv.FormatInt(left, 10))
	header.Set(b.headers.Replica, attempt.Replica.ID)
	header.Set(b.headers.Priority, strconv.Itoa(min(max(attempt.Priority, 0), leastUrgent)))
	if attempt.LastEventID != "" {
		header.Set(headerLastEvent, attempt.LastEventID)
	}
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = nil // none is added
	}
	return &http.Request{
		Method: attempt.Request.Method,
		URL:    &url.URL{Scheme: "http", Host: attempt.Request.Host, Opaque: attempt.Request.Target},
		Host:   attempt.Request.Host,
		Header: header,
	}
}

// judge tells an answer to this request from a refusal and from another's answer.
func (b *backend) judge(response *http.Response, id string) error {
	echoed := response.Header.Get(b.headers.RequestID)
	if echoed != "" && echoed != id {
		return &dispatch.AttemptError{Reason: dispatch.FailureIndeterminate, Err: errOtherRequest}
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &dispatch.AttemptError{Reason: dispatch.FailureReplaced, Err: errRefused}
	}
	refused := response.Header.Get(b.headers.NotExecuted) != "" && response.StatusCode != http.StatusBadRequest
	if refused {
		return &dispatch.AttemptError{Reason: dispatch.FailureRejected, RetryAfter: retryAfter(response.Header), Err: errRefused}
	}
	if echoed == "" && response.StatusCode < http.StatusMultipleChoices {
		return &dispatch.AttemptError{Reason: dispatch.FailureIndeterminate, Err: errOtherRequest}
	}
	return nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get(headerRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// reap closes connections that have been idle for too long until ctx ends.
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
