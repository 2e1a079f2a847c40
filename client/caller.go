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

// Where asks any gateway where a request should go. Asking again is safe.
func (c *Client) Where(ctx context.Context, request api.WhereRequest) (*api.WhereAnswer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, encodingProblem(err)
	}
	var answer api.WhereAnswer
	if err := c.do(ctx, call{method: http.MethodPost, path: api.PathWhere, body: body}, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Generate sends a request to a gateway, as told by Where, and waits for the
// whole answer. If the exchange breaks and the request carries a ticket or is
// repeatable, it is sent to the alternates in turn; a ticket's owner joins it to
// the run in progress.
func (c *Client) Generate(ctx context.Context, request api.GenerateRequest, gateway string, alternates ...string) (*api.GenerateAnswer, error) {
	request.Stream = false
	body, err := json.Marshal(request)
	if err != nil {
		return nil, encodingProblem(err)
	}
	exchange := call{method: http.MethodPost, path: api.PathRequests, body: body}
	var answer api.GenerateAnswer
	var failure *attemptError
	open := false // whether an earlier exchange may have run the request
	for _, address := range append([]string{gateway}, alternates...) {
		failure = c.requestOnce(ctx, address, exchange, &answer)
		if failure == nil {
			return &answer, nil
		}
		resendable := request.Ticket != "" || request.Repeatable || !failure.sent
		if !failure.again || !resendable || ctx.Err() != nil {
			break
		}
		open = open || failure.sent
	}
	ownersWord := failure.typed && request.Ticket != ""
	return nil, unanswered(*failure, open && !ownersWord)
}

// requestOnce is attempt without a time-out of its own and without resends of
// what a gateway has answered.
func (c *Client) requestOnce(ctx context.Context, address string, exchange call, into any) *attemptError {
	response, failure := c.send(ctx, address, exchange)
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return broken(address, err)
	}
	if response.StatusCode == http.StatusOK {
		return decodeSuccess(address, body, into)
	}
	failure = decodeFailure(address, response.StatusCode, body)
	failure.again = false
	return failure
}

// Stream is a streamed answer. It is for one goroutine.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	next    int
	run     string
	end     *api.StreamEnd
}

// OpenStream sends a request whose answer is streamed.
func (c *Client) OpenStream(ctx context.Context, request api.GenerateRequest, gateway string) (*Stream, error) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, encodingProblem(err)
	}
	response, failure := c.send(ctx, gateway, call{method: http.MethodPost, path: api.PathRequests, body: body})
	if failure != nil {
		return nil, failure.problem
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		if err != nil {
			return nil, broken(gateway, err).problem
		}
		return nil, decodeFailure(gateway, response.StatusCode, content).problem
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 2*api.MaxStreamLine)
	return &Stream{body: response.Body, scanner: scanner, next: 1}, nil
}

// Next returns the next piece, io.EOF after a whole stream, and an *api.Error for
// everything else: a stream that breaks off never looks finished.
func (s *Stream) Next() (*api.StreamChunk, error) {
	if s.end != nil {
		return nil, io.EOF
	}
	event, data, err := s.readEvent()
	if err != nil {
		return nil, streamProblem(err.Error())
	}
	switch event {
	case api.EventPiece:
		return s.piece(data)
	case api.EventEnd:
		return nil, s.finish(data)
	case api.EventError:
		var problem api.Error
		if err := json.Unmarshal(data, &problem); err != nil {
			return nil, streamProblem(fmt.Sprintf("malformed error event: %v", err))
		}
		return nil, &problem
	default:
		return nil, streamProblem(fmt.Sprintf("unknown event %q", event))
	}
}

// End returns the end marker once Next has returned io.EOF, nil before.
func (s *Stream) End() *api.StreamEnd { return s.end }

// Close gives the stream up.
func (s *Stream) Close() error { return s.body.Close() }

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
	return "", nil, errors.New("the stream ended without its end marker")
}

func (s *Stream) piece(data []byte) (*api.StreamChunk, error) {
	var piece api.StreamChunk
	if err := json.Unmarshal(data, &piece); err != nil {
		return nil, streamProblem(fmt.Sprintf("malformed piece: %v", err))
	}
	if err := s.follows(piece.RunID, piece.Sequence); err != nil {
		return nil, err
	}
	return &piece, nil
}

func (s *Stream) finish(data []byte) error {
	var end api.StreamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		return streamProblem(fmt.Sprintf("malformed end: %v", err))
	}
	if err := s.follows(end.RunID, end.Sequence); err != nil {
		return err
	}
	s.end = &end
	return io.EOF
}

// follows checks that an event is the next one of the one run.
func (s *Stream) follows(run string, sequence int) error {
	if s.run == "" {
		s.run = run
	}
	if run != s.run || sequence != s.next {
		return streamProblem(fmt.Sprintf("event %d of run %q follows event %d of run %q", sequence, run, s.next-1, s.run))
	}
	s.next++
	return nil
}

func streamProblem(message string) *api.Error {
	return &api.Error{Code: api.CodeReplicaBroken, Outcome: api.OutcomeUnknown, Message: message}
}

func encodingProblem(err error) *api.Error {
	return &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: fmt.Sprintf("encoding the request: %v", err)}
}
