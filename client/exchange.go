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
	// awaitsCompletion is set for an operation: the server delays the response
	// until the operation is in force.
	awaitsCompletion bool
}

// newCall returns a call with a JSON body. The error describes the body by subject.
func newCall(method, path, subject string, body any) (call, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return call{}, encodingError(subject, err)
	}
	return call{method: method, path: path, body: encoded}, nil
}

// queryFor returns the query parameters. For an operation it adds the time for which
// the server may delay the response. This is at most 90 % of the time to the context's
// deadline, so that the response arrives before it.
func (c call) queryFor(ctx context.Context) url.Values {
	query := url.Values{}
	for key, values := range c.query {
		query[key] = values
	}
	if c.awaitsCompletion {
		wait := maxOperationWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = min(wait, time.Until(deadline)*9/10)
		}
		query.Set("wait_ms", strconv.FormatInt(max(0, wait.Milliseconds()), 10))
	}
	return query
}

// do sends the request with Client.do and returns the decoded response.
func do[T any](ctx context.Context, c *Client, request call) (*T, error) {
	var response T
	if err := c.do(ctx, request, &response); err != nil {
		return nil, err
	}
	return &response, nil
}

// do tries the addresses in turn, beginning with the preferred one, until one of them
// returns success or an error that is not retryable, or the context ends. It decodes
// a success into the given value.
func (c *Client) do(ctx context.Context, request call, into any) error {
	lastFailure := attemptError{cause: unreachableError(c.config.Addresses[0], context.Cause(ctx))}
	mayHaveRun := false
	for {
		for i := range c.config.Addresses {
			if ctx.Err() != nil {
				return combineOutcome(lastFailure, mayHaveRun)
			}
			index := (int(c.preferred.Load()) + i) % len(c.config.Addresses)
			failure := c.attempt(ctx, c.config.Addresses[index], request, into)
			if failure == nil {
				c.preferred.Store(int64(index))
				return nil
			}
			mayHaveRun = mayHaveRun || failure.mayHaveRun
			if !failure.retryable {
				return failure.cause
			}
			if failure.reported || !lastFailure.reported {
				lastFailure = *failure
			}
		}
		if err := sleep(ctx, c.retryInterval(lastFailure)); err != nil {
			return combineOutcome(lastFailure, mayHaveRun)
		}
	}
}

// retryInterval returns the time to wait after a failure: the one that the server
// requested, or else the configured interval.
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

// combineOutcome returns the error of an attempt with the outcome of all attempts
// together, which is unknown if a server may have acted on one of them.
func combineOutcome(last attemptError, mayHaveRun bool) error {
	combined := *last.cause
	if mayHaveRun {
		combined.Outcome = api.OutcomeUnknown
	}
	return &combined
}

// errResponseTimeout is the cancellation cause of an attempt without a response header
// within its timeout.
var errResponseTimeout = errors.New("no response header within the response timeout")

// attempt sends the request once and decodes the response. It returns nil on success.
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

// responseTimeout returns the timeout for the response header.
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

// sendOnce sends the request once and decodes the response. Unlike attempt, it sets no
// timeout, and a failure that the gateway reported is never retryable.
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
