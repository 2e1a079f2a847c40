// Package client speaks the HTTP interfaces of deckpulley: operators' and the
// platform's orders to any node, and callers' requests to gateways. It fails over
// between addresses and resends only what may be resent. Every error that it
// returns is an *api.Error, except those of a context that ended before anything
// was sent.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Defaults and bounds.
const (
	DefaultAttemptTimeout  = 12 * time.Second
	DefaultResponseTimeout = 3 * time.Second
	DefaultRetryInterval   = 200 * time.Millisecond
	maxAnswerBytes         = 64 << 20
	maxOrderWait           = 3 * time.Second // then the order is asked about again
	orderIDBytes           = 12
)

// Config sets up a Client.
type Config struct {
	// Addresses are host:port of the operators' ports of nodes, or of the callers'
	// ports of gateways for requests; at least one.
	Addresses []string
	// Token is the operator's token; empty sends none.
	Token string
	// HTTP defaults to a client of its own.
	HTTP *http.Client
	// AttemptTimeout bounds one attempt at one address. Default 12 s.
	AttemptTimeout time.Duration
	// ResponseTimeout bounds the wait for a node to begin its answer to a read, or to
	// an order beyond the time that it may hold the answer: a frozen node takes
	// connections and says nothing. Default 3 s.
	ResponseTimeout time.Duration
	// RetryInterval is the time between two rounds over all addresses. Default 200 ms.
	RetryInterval time.Duration
}

// Client is safe for concurrent use.
type Client struct {
	config Config
	// preferred is the index of the address that answered last.
	preferred atomic.Int64
}

// New returns a client. The error says that there is no address.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, errors.New("client: no address is given")
	}
	if config.HTTP == nil {
		config.HTTP = &http.Client{}
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = DefaultAttemptTimeout
	}
	if config.ResponseTimeout == 0 {
		config.ResponseTimeout = DefaultResponseTimeout
	}
	if config.RetryInterval == 0 {
		config.RetryInterval = DefaultRetryInterval
	}
	return &Client{config: config}, nil
}

// NewOperationID returns a fresh random order id.
func NewOperationID() string {
	random := make([]byte, orderIDBytes)
	rand.Read(random) // never fails, see the package
	return hex.EncodeToString(random)
}

// call is one exchange that may be sent to any address, and again.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// waits says that the server holds the answer until it is in force.
	waits bool
}

// attemptError is a failed attempt.
type attemptError struct {
	problem *api.Error
	// sent says that the server may have acted on the request.
	sent bool
	// again says that another attempt may succeed.
	again bool
	// typed says that the server gave the problem.
	typed bool
}

// do sends the call until it is answered for good or the context ends.
func (c *Client) do(ctx context.Context, request call, into any) error {
	last := attemptError{problem: localProblem(c.config.Addresses[0], context.Cause(ctx))}
	sent := false
	for {
		for i := range c.config.Addresses {
			if ctx.Err() != nil {
				return unanswered(last, sent)
			}
			index := (int(c.preferred.Load()) + i) % len(c.config.Addresses)
			failure := c.attempt(ctx, c.config.Addresses[index], request, into)
			if failure == nil {
				c.preferred.Store(int64(index))
				return nil
			}
			sent = sent || failure.sent
			if !failure.again {
				return failure.problem
			}
			if failure.typed || !last.typed {
				last = *failure
			}
		}
		if err := pause(ctx, c.pauseAfter(last)); err != nil {
			return unanswered(last, sent)
		}
	}
}

func (c *Client) pauseAfter(failure attemptError) time.Duration {
	if after := time.Duration(failure.problem.RetryAfterMS) * time.Millisecond; after > 0 {
		return after
	}
	return c.config.RetryInterval
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unanswered is the last error, with the outcome of all attempts together.
func unanswered(last attemptError, sent bool) error {
	problem := *last.problem
	if sent {
		problem.Outcome = api.OutcomeUnknown
	}
	return &problem
}

// attempt sends the call once. It returns nil for a success.
func (c *Client) attempt(ctx context.Context, address string, request call, into any) *attemptError {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	silence := time.AfterFunc(c.answerTimeout(request), func() { giveUp(errSilent) })
	response, failure := c.send(ctx, address, request)
	silence.Stop()
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return broken(address, err)
	}
	if response.StatusCode/100 == 2 && response.StatusCode != http.StatusAccepted {
		return decodeSuccess(address, body, into)
	}
	return decodeFailure(address, response.StatusCode, body)
}

// errSilent says why an attempt was given up.
var errSilent = errors.New("the node does not begin to answer")

// answerTimeout is how long the answer to a call may take to begin.
func (c *Client) answerTimeout(request call) time.Duration {
	switch {
	case request.waits:
		return c.config.ResponseTimeout + maxOrderWait
	case request.method == http.MethodGet:
		return c.config.ResponseTimeout
	default:
		return c.config.AttemptTimeout
	}
}

func (c *Client) send(ctx context.Context, address string, request call) (*http.Response, *attemptError) {
	target := url.URL{Scheme: "http", Host: address, Path: request.path, RawQuery: request.queryFor(ctx).Encode()}
	message, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return nil, &attemptError{problem: localProblem(address, err)}
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
		return nil, &attemptError{problem: localProblem(address, err), again: true}
	}
	if err != nil {
		return nil, broken(address, err)
	}
	return response, nil
}

// queryFor tells the server how long the sender waits, a little less than it does.
func (r call) queryFor(ctx context.Context) url.Values {
	query := url.Values{}
	for key, values := range r.query {
		query[key] = values
	}
	if r.waits {
		wait := maxOrderWait
		if deadline, bounded := ctx.Deadline(); bounded {
			wait = min(wait, time.Until(deadline)*9/10)
		}
		query.Set("wait_ms", strconv.FormatInt(max(0, wait.Milliseconds()), 10))
	}
	return query
}

// broken describes an exchange that began and has no answer.
func broken(address string, err error) *attemptError {
	problem := localProblem(address, err)
	problem.Outcome = api.OutcomeUnknown
	return &attemptError{problem: problem, sent: true, again: true}
}

func localProblem(address string, err error) *api.Error {
	return &api.Error{
		Code:    api.CodeNoPrimary,
		Outcome: api.OutcomeRefused,
		Message: fmt.Sprintf("no answer from %s: %v", address, err),
		Retry:   true,
	}
}

func decodeSuccess(address string, body []byte, into any) *attemptError {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return broken(address, fmt.Errorf("malformed answer: %w", err))
	}
	return nil
}

// decodeFailure reads an error body, or an order's answer that carries one.
func decodeFailure(address string, status int, body []byte) *attemptError {
	var answer api.ErrorBody
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error == nil {
		return broken(address, fmt.Errorf("HTTP status %d without a typed error", status))
	}
	problem := answer.Error
	return &attemptError{
		problem: problem,
		sent:    problem.Outcome != api.OutcomeRefused,
		again:   problem.Retry || problem.Code == api.CodePending,
		typed:   true,
	}
}
