package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// call describes an HTTP request that may be sent to any address, and resent.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// awaitsCompletion is set if the server delays the response until the
	// operation is in force.
	awaitsCompletion bool
}

// newCall returns a call with a JSON body. subject names the body in the error.
func newCall(method, path, subject string, body any) (call, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return call{}, encodingError(subject, err)
	}
	return call{method: method, path: path, body: encoded}, nil
}

// queryFor returns the query. For an operation it adds the time for which the
// server may delay the response, a little less than the context has left.
func (r call) queryFor(ctx context.Context) url.Values {
	query := url.Values{}
	for key, values := range r.query {
		query[key] = values
	}
	if r.awaitsCompletion {
		wait := maxOperationWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = min(wait, time.Until(deadline)*9/10)
		}
		query.Set("wait_ms", strconv.FormatInt(max(0, wait.Milliseconds()), 10))
	}
	return query
}

// do sends the request until it has a final response or the context ends, and
// returns the decoded response.
func do[T any](ctx context.Context, c *Client, request call) (*T, error) {
	var response T
	if err := c.do(ctx, request, &response); err != nil {
		return nil, err
	}
	return &response, nil
}

// do tries the addresses in turn, beginning with the preferred one, until one
// gives a final response or the context ends.
func (c *Client) do(ctx context.Context, request call, into any) error {
	last := attemptError{cause: unreachableError(c.config.Addresses[0], context.Cause(ctx))}
	sent := false
	for {
		for i := range c.config.Addresses {
			if ctx.Err() != nil {
				return combineOutcome(last, sent)
			}
			index := (int(c.preferred.Load()) + i) % len(c.config.Addresses)
			failure := c.attempt(ctx, c.config.Addresses[index], request, into)
			if failure == nil {
				c.preferred.Store(int64(index))
				return nil
			}
			sent = sent || failure.sent
			if !failure.retryable {
				return failure.cause
			}
			if failure.typed || !last.typed {
				last = *failure
			}
		}
		if err := sleep(ctx, c.retryInterval(last)); err != nil {
			return combineOutcome(last, sent)
		}
	}
}

// retryInterval returns the time to wait after a failure: what the server asked
// for, else the configured interval.
func (c *Client) retryInterval(failure attemptError) time.Duration {
	if after := time.Duration(failure.cause.RetryAfterMS) * time.Millisecond; after > 0 {
		return after
	}
	return c.config.RetryInterval
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// combineOutcome returns the last error, with the outcome of all attempts
// together: unknown if the server may have acted on one of them.
func combineOutcome(last attemptError, sent bool) error {
	combined := *last.cause
	if sent {
		combined.Outcome = api.OutcomeUnknown
	}
	return &combined
}

// errResponseTimeout is the cause of a canceled attempt without a response.
var errResponseTimeout = errors.New("the node does not begin to answer")

// attempt sends the request once. It returns nil on success.
func (c *Client) attempt(ctx context.Context, address string, request call, into any) *attemptError {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	timer := time.AfterFunc(c.responseTimeout(request), func() { abort(errResponseTimeout) })
	response, failure := c.send(ctx, address, request)
	timer.Stop()
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	body, failure := readBody(address, response)
	if failure != nil {
		return failure
	}
	if response.StatusCode/100 == 2 && response.StatusCode != http.StatusAccepted {
		return decodeSuccess(address, body, into)
	}
	return decodeFailure(address, response.StatusCode, body)
}

// responseTimeout returns how long the response header may take.
func (c *Client) responseTimeout(request call) time.Duration {
	switch {
	case request.awaitsCompletion:
		return c.config.ResponseTimeout + maxOperationWait
	case request.method == http.MethodGet:
		return c.config.ResponseTimeout
	default:
		return c.config.AttemptTimeout
	}
}

// send sends the request once and returns the response with its body unread.
func (c *Client) send(ctx context.Context, address string, request call) (*http.Response, *attemptError) {
	target := url.URL{Scheme: "http", Host: address, Path: request.path, RawQuery: request.queryFor(ctx).Encode()}
	message, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return nil, &attemptError{cause: unreachableError(address, err)}
	}
	if request.body != nil {
		message.Header.Set("Content-Type", "application/json")
	}
	if c.config.Token != "" {
		message.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	connected := false
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := c.config.HTTP.Do(message.WithContext(httptrace.WithClientTrace(ctx, &trace)))
	if err != nil && !connected {
		return nil, &attemptError{cause: unreachableError(address, err), retryable: true}
	}
	if err != nil {
		return nil, indeterminateError(address, err)
	}
	return response, nil
}

// sendOnce sends the request once. Unlike attempt it sets no timeout, and it
// marks no failure that the gateway reported as retryable.
func (c *Client) sendOnce(ctx context.Context, address string, request call, into any) *attemptError {
	response, failure := c.send(ctx, address, request)
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	body, failure := readBody(address, response)
	if failure != nil {
		return failure
	}
	if response.StatusCode == http.StatusOK {
		return decodeSuccess(address, body, into)
	}
	failure = decodeFailure(address, response.StatusCode, body)
	failure.retryable = false
	return failure
}
