package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/stream"
)

// eventReader is the receiving end of a stream between gateways.
type eventReader interface {
	Next(into any) error
	Close() error
}

// closeStream closes a stream and ignores the error, which has no effect on the request.
func closeStream(events eventReader) { _ = events.Close() }

// errUnexpectedEvent means that a peer sent an event that is not allowed at this position
// of the stream.
var errUnexpectedEvent = errors.New("gateway: unexpected event from a peer")

// copyEvents copies the chunks that a peer sends to an execution and verifies their
// order. It returns the result in the peer's last event.
func copyEvents(ctx context.Context, events eventReader, run *execution.Execution) (*execution.Result, error) {
	sequence := stream.SequenceChecker{RequestID: run.RequestID}
	for {
		var event peer.RunEvent
		if err := events.Next(&event); err != nil {
			return nil, fmt.Errorf("gateway: reading the events of a peer: %w", err)
		}
		switch {
		case event.Chunk != nil:
			if err := sequence.CheckChunk(event.Chunk); err != nil {
				return nil, err
			}
			data, err := json.Marshal(event.Chunk)
			if err != nil {
				return nil, fmt.Errorf("gateway: encoding a chunk: %w", err)
			}
			if err := run.AppendChunk(ctx, data); err != nil {
				return nil, err
			}
		case event.End != nil:
			return &execution.Result{End: event.End, Attempts: event.Attempts}, sequence.CheckEnd(event.End)
		case event.Answer != nil && event.Answer.RequestID == run.RequestID && sequence.Chunks() == 0:
			return &execution.Result{Answer: event.Answer, Attempts: event.Attempts}, nil
		case event.Error != nil:
			return &execution.Result{Failure: event.Error, Attempts: event.Attempts}, nil //nolint:nilerr // the failure is the result of the run, not of reading it
		default:
			return nil, errUnexpectedEvent
		}
	}
}

// sendEvents sends the output and the result of an execution to a peer.
func sendEvents(ctx context.Context, follower *execution.Follower, send func(any) error) error {
	for {
		frames, ended, err := follower.Next(ctx)
		if err != nil {
			return err
		}
		if ended != nil {
			return send(&peer.RunEvent{Answer: ended.Answer, End: ended.End, Error: ended.Failure, Attempts: ended.Attempts})
		}
		err = execution.ForEachChunk(frames, func(data []byte) error {
			chunk := new(api.StreamChunk)
			if err := json.Unmarshal(data, chunk); err != nil {
				return fmt.Errorf("gateway: decoding a chunk: %w", err)
			}
			return send(&peer.RunEvent{Chunk: chunk})
		})
		if err != nil {
			return err
		}
	}
}
