package benchmark

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// maxConnections is the maximum number of connections of the callers to one address.
const maxConnections = 2048

// requestTimeoutMS is the time limit of a caller's request, in milliseconds.
const requestTimeoutMS = 20_000

// errStreamIncomplete means that a stream ended before its end event, or with an error
// event.
var errStreamIncomplete = errors.New("the stream is incomplete")

// caller is an HTTP client of one gateway or one replica.
type caller struct {
	http *http.Client
	// base is the prefix of every URL.
	base string
	// events counts the events read so far, including those of streams in progress.
	events atomic.Int64
}

func newCaller(address string) *caller {
	connections := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	return &caller{http: &http.Client{Transport: connections}, base: "http://" + address}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// post sends a document as JSON and returns the body of the response, which must have
// status 200. The body must be closed.
func (c *caller) post(ctx context.Context, path string, document any) (io.ReadCloser, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("encoding a request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	return response.Body, nil
}

// send sends a request without streaming and discards the response.
func (c *caller) send(ctx context.Context, path string, document any) error {
	body, err := c.post(ctx, path, document)
	if err != nil {
		return err
	}
	defer body.Close()
	_, err = io.Copy(io.Discard, body)
	return err
}

// sendWithTicket obtains a ticket and sends the request with it, as callers do for a
// request that must be executed at most once.
func (c *caller) sendWithTicket(ctx context.Context, request api.GenerateRequest) error {
	ticketRequest := api.WhereRequest{RequestID: request.RequestID, Model: request.Model, WaitMS: request.WaitMS}
	body, err := c.post(ctx, api.PathWhere, ticketRequest)
	if err != nil {
		return err
	}
	var answer api.WhereAnswer
	err = json.NewDecoder(body).Decode(&answer)
	body.Close()
	if err != nil {
		return fmt.Errorf("reading a ticket: %w", err)
	}
	request.Repeatable = false
	request.Ticket = answer.Ticket
	return c.send(ctx, api.PathRequests, request)
}

// stream sends a request and reads the streamed response to its end. If keepTimes is true,
// it returns the time at which each event was read.
func (c *caller) stream(ctx context.Context, path string, document any, keepTimes bool) ([]time.Time, error) {
	body, err := c.post(ctx, path, document)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	var read []time.Time
	ended := false
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) && ended {
			return read, nil
		}
		if err != nil {
			return read, fmt.Errorf("%w after %d events: %w", errStreamIncomplete, len(read), err)
		}
		switch {
		case len(line) == 1:
			c.events.Add(1)
			if keepTimes {
				read = append(read, time.Now())
			}
		case bytes.HasPrefix(line, []byte("event: "+api.EventEnd)):
			ended = true
		case bytes.HasPrefix(line, []byte("event: "+api.EventError)):
			return read, fmt.Errorf("%w: it ended with an error event", errStreamIncomplete)
		}
	}
}

// gatewayRequest returns a request as a caller sends it to a gateway.
func gatewayRequest(id, model string, stream bool, tokens int) api.GenerateRequest {
	return api.GenerateRequest{
		RequestID:    id,
		Model:        model,
		PromptTokens: 16,
		MaxTokens:    tokens,
		Stream:       stream,
		WaitMS:       requestTimeoutMS,
		Repeatable:   true,
	}
}

// replicaRequest returns the same request as gatewayRequest, in the form in which a gateway
// sends it to a replica.
func replicaRequest(id, model string, stream bool, tokens int) api.ReplicaRequest {
	class := api.ClassFetch
	if model == modelName {
		class = api.ClassLong
	}
	return api.ReplicaRequest{
		RequestID:    id,
		Model:        model,
		Class:        class,
		PromptTokens: 16,
		MaxTokens:    tokens,
		Stream:       stream,
		TimeLeftMS:   requestTimeoutMS,
		Stamp:        api.Stamp{ConfigurationVersion: 1, Gateway: "benchmark", Attempt: 1},
	}
}
