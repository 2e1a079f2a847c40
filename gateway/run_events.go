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

// eventReader is the receiving end of a transport stream.
type eventReader interface {
	Next(into any) error
	Close() error
}

// closeStream closes a stream. Its error doesn't matter to the request.
func closeStream(events eventReader) { _ = events.Close() }

// errUnexpectedEvent means that the events of a peer make no answer.
var errUnexpectedEvent = errors.New("gateway: peer's events do not belong together")

// copyEvents copies the events of a peer into an execution, verifies their order, and
// returns the result that ends them.
func copyEvents(ctx context.Context, events eventReader, run *execution.Execution) (*execution.Result, error) {
	sequence := stream.SequenceChecker{RequestID: run.RequestID}
	for {
		var event peer.RunEvent
		if err := events.Next(&event); err != nil {
			return nil, fmt.Errorf("gateway: peer's events: %w", err)
		}
		switch {
		case event.Chunk != nil:
			if err := sequence.CheckChunk(event.Chunk); err != nil {
				return nil, err
			}
			data, err := json.Marshal(event.Chunk)
			if err != nil {
				return nil, fmt.Errorf("gateway: encoding a piece: %w", err)
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

// sendEvents sends the output of an execution to a peer.
func sendEvents(ctx context.Context, reader *execution.Follower, send func(any) error) error {
	for {
		frames, ended, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		if ended != nil {
			return send(&peer.RunEvent{Answer: ended.Answer, End: ended.End, Error: ended.Failure, Attempts: ended.Attempts})
		}
		err = execution.ForEachChunk(frames, func(data []byte) error {
			piece := new(api.StreamChunk)
			if err := json.Unmarshal(data, piece); err != nil {
				return fmt.Errorf("gateway: decoding a piece: %w", err)
			}
			return send(&peer.RunEvent{Chunk: piece})
		})
		if err != nil {
			return err
		}
	}
}
