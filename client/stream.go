package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
)

// Stream is a streamed answer. It is not safe for concurrent use.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	next    int    // expected sequence number of the next event
	run     string // run ID of the events so far; empty before the first
	end     *api.StreamEnd
}

// OpenStream sends a request to a gateway and returns its answer as a stream. The
// caller must close the stream.
func (c *Client) OpenStream(ctx context.Context, request api.GenerateRequest, gateway string) (*Stream, error) {
	request.Stream = true
	generate, err := newCall(http.MethodPost, api.PathRequests, "request", request)
	if err != nil {
		return nil, err
	}
	response, failure := c.send(ctx, gateway, generate)
	if failure != nil {
		return nil, failure.cause
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		body, failure := readBody(gateway, response)
		if failure != nil {
			return nil, failure.cause
		}
		return nil, decodeFailure(gateway, response.StatusCode, body).cause
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 2*api.MaxStreamLine)
	return &Stream{body: response.Body, scanner: scanner, next: 1}, nil
}

// Next returns the next chunk. It returns io.EOF after the last chunk of a complete
// stream and an *api.Error in all other cases, also if the stream is truncated.
func (s *Stream) Next() (*api.StreamChunk, error) {
	if s.end != nil {
		return nil, io.EOF
	}
	event, data, err := s.readEvent()
	if err != nil {
		return nil, streamError(err.Error())
	}
	switch event {
	case api.EventChunk:
		return s.decodeChunk(data)
	case api.EventEnd:
		return nil, s.decodeEnd(data)
	case api.EventError:
		var reported api.Error
		if err := json.Unmarshal(data, &reported); err != nil {
			return nil, streamError(fmt.Sprintf("malformed error event: %v", err))
		}
		return nil, &reported
	default:
		return nil, streamError(fmt.Sprintf("unknown event %q", event))
	}
}

// End returns the end event after Next has returned io.EOF. Before that it returns nil.
func (s *Stream) End() *api.StreamEnd { return s.end }

// Close releases the stream's connection. A stream that has not ended is aborted.
func (s *Stream) Close() error { return s.body.Close() }

// readEvent reads one server-sent event.
func (s *Stream) readEvent() (event string, data []byte, err error) {
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		switch {
		case len(line) == 0 && event != "":
			return event, data, nil
		case bytes.HasPrefix(line, []byte("event:")):
			event = string(bytes.TrimSpace(line[len("event:"):]))
		case bytes.HasPrefix(line, []byte("data:")):
			data = append(data, bytes.TrimSpace(line[len("data:"):])...)
		}
	}
	if err := s.scanner.Err(); err != nil {
		return "", nil, err
	}
	return "", nil, errors.New("the stream ended without an end event")
}

func (s *Stream) decodeChunk(data []byte) (*api.StreamChunk, error) {
	var chunk api.StreamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, streamError(fmt.Sprintf("malformed chunk event: %v", err))
	}
	if err := s.checkSequence(chunk.RunID, chunk.Sequence); err != nil {
		return nil, err
	}
	return &chunk, nil
}

func (s *Stream) decodeEnd(data []byte) error {
	var end api.StreamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		return streamError(fmt.Sprintf("malformed end event: %v", err))
	}
	if err := s.checkSequence(end.RunID, end.Sequence); err != nil {
		return err
	}
	s.end = &end
	return io.EOF
}

// checkSequence checks that an event belongs to the run of the earlier ones and has the
// next sequence number.
func (s *Stream) checkSequence(run string, sequence int) error {
	if s.run == "" {
		s.run = run
	}
	if run != s.run || sequence != s.next {
		return streamError(fmt.Sprintf("event %d of run %q is out of sequence after event %d of run %q", sequence, run, s.next-1, s.run))
	}
	s.next++
	return nil
}

func streamError(message string) *api.Error {
	return &api.Error{Code: api.CodeReplicaBroken, Outcome: api.OutcomeUnknown, Message: message}
}
