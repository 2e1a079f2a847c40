package gateway

import (
	"bytes"
	"context"
	"errors"
	"sync"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/stream"
	"github.com/deckpulley/deckpulley/ticket"
)

// maxRetainedStreamBytes bounds the events of a stream that are retained for late
// readers, and how far the slowest reader may lag behind.
const maxRetainedStreamBytes = 256 << 10

// Initial capacity of the buffer of a stream, in bytes: enough for most streams, so
// that they never grow it.
const (
	typicalFrameBytes     = 160
	maxInitialBufferBytes = 32 << 10
)

// errAbandoned is the cause of a cancellation after the last reader has left.
var errAbandoned = errors.New("gateway: the caller went away")

// result is how an execution ended. Exactly one of its pointers is set.
type result struct {
	answer  *api.GenerateAnswer
	end     *api.StreamEnd
	failure *api.Error
	// attempts is the number of attempts that may have reached a replica.
	attempts int
}

// ticketState is the state that the ticket table records of the result.
func (r *result) ticketState() ticket.State {
	if r.failure == nil {
		return ticket.StateCompleted
	}
	switch r.failure.Outcome {
	case api.OutcomeRefused:
		return ticket.StateRejected
	case api.OutcomeFailed:
		return ticket.StateFailed
	default:
		return ticket.StateUnknown
	}
}

// execution is one run of a request and its output. One producer writes it; any
// number of followers read it, each from the beginning.
type execution struct {
	requestID string
	stream    bool
	cancel    context.CancelCauseFunc
	// consumed wakes the producer when a follower has read.
	consumed chan struct{}

	mutex     sync.Mutex
	frames    []byte // events in wire form
	offset    int64  // position of frames[0] in the whole stream
	result    *result
	released  bool
	followers map[*follower]struct{}
}

var _ ticket.Run = (*execution)(nil)

// newExecution returns an execution of a request with at most maxTokens output
// tokens.
func newExecution(requestID string, streamed bool, maxTokens int, cancel context.CancelCauseFunc) *execution {
	var frames []byte
	if streamed {
		frames = make([]byte, 0, min(maxTokens*typicalFrameBytes, maxInitialBufferBytes))
	}
	return &execution{
		requestID: requestID,
		stream:    streamed,
		frames:    frames,
		cancel:    cancel,
		consumed:  make(chan struct{}, 1),
		followers: make(map[*follower]struct{}, 1),
	}
}

// RetainedBytes implements ticket.Run.
func (e *execution) RetainedBytes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	size := cap(e.frames)
	if e.result != nil && e.result.answer != nil {
		size += len(e.result.answer.Text)
	}
	return size
}

// Release implements ticket.Run. Failures are retained: a refusal is repeated for as
// long as its ticket is remembered.
func (e *execution) Release() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.released = true
	e.offset += int64(len(e.frames))
	e.frames = nil
	if e.result != nil && e.result.failure == nil {
		e.result = &result{failure: outputDiscarded(e.requestID)}
	}
}

// outputDiscarded is the answer to a reader that comes after the output was
// discarded.
func outputDiscarded(requestID string) *api.Error {
	return &api.Error{
		Code:      api.CodeDuplicate,
		Outcome:   api.OutcomeUnknown,
		Message:   "the request was sent before and its output is no longer kept",
		RequestID: requestID,
	}
}

// appendChunk appends one event. It blocks while the slowest follower lags too far
// behind.
func (e *execution) appendChunk(ctx context.Context, data []byte) error {
	e.mutex.Lock()
	e.frames = stream.AppendFrame(e.frames, api.EventPiece, data)
	e.notifyFollowers()
	for len(e.frames) > maxRetainedStreamBytes && !e.trim() {
		e.mutex.Unlock()
		select {
		case <-e.consumed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		e.mutex.Lock()
	}
	e.mutex.Unlock()
	return nil
}

// trim discards events that every follower has read, down to half of what may be
// retained. It reports false if there is nothing to discard. The caller holds the
// mutex.
func (e *execution) trim() bool {
	size := len(e.frames) - maxRetainedStreamBytes/2
	for reader := range e.followers {
		size = min(size, int(reader.offset-e.offset))
	}
	if size <= 0 {
		return false
	}
	e.offset += int64(size)
	e.frames = append(e.frames[:0], e.frames[size:]...)
	return true
}

// hasOutput reports whether any event has been appended.
func (e *execution) hasOutput() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.offset > 0 || len(e.frames) > 0
}

// finish sets the result; only the first call has an effect.
func (e *execution) finish(r *result) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.result == nil {
		e.result = r
		e.notifyFollowers()
	}
}

// notifyFollowers wakes the followers. The caller holds the mutex.
func (e *execution) notifyFollowers() {
	for reader := range e.followers {
		select {
		case reader.updated <- struct{}{}:
		default:
		}
	}
}

// follow adds a reader. It fails if the beginning of the stream was discarded.
func (e *execution) follow(streamed bool) (*follower, *api.Error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	failed := e.result != nil && e.result.failure != nil
	if e.stream != streamed || (e.offset > 0 && !failed) {
		return nil, outputDiscarded(e.requestID)
	}
	reader := &follower{execution: e, updated: make(chan struct{}, 1)}
	if e.offset > 0 {
		reader.offset = e.offset + int64(len(e.frames))
	}
	e.followers[reader] = struct{}{}
	return reader, nil
}

// follower reads an execution's output. It is not safe for concurrent use.
type follower struct {
	execution *execution
	updated   chan struct{}
	offset    int64
	buffer    []byte
}

// next returns the events appended since the last call, which are valid until the
// next call, or the result after the last event.
func (f *follower) next(ctx context.Context) (frames []byte, ended *result, err error) {
	for {
		frames, ended = f.read()
		if len(frames) > 0 || ended != nil {
			return frames, ended, nil
		}
		select {
		case <-f.updated:
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		}
	}
}

func (f *follower) read() ([]byte, *result) {
	e := f.execution
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.released && e.offset > f.offset {
		return nil, &result{failure: outputDiscarded(e.requestID)}
	}
	unread := e.frames[f.offset-e.offset:]
	if len(unread) == 0 {
		return nil, e.result
	}
	f.buffer = append(f.buffer[:0], unread...)
	f.offset += int64(len(unread))
	select {
	case e.consumed <- struct{}{}:
	default:
	}
	return f.buffer, nil
}

// close ends the reading. An unfinished execution is canceled when its last follower
// closes.
func (f *follower) close() {
	e := f.execution
	e.mutex.Lock()
	delete(e.followers, f)
	abandoned := len(e.followers) == 0 && e.result == nil
	e.mutex.Unlock()
	if abandoned {
		e.cancel(errAbandoned)
	}
	select {
	case e.consumed <- struct{}{}:
	default:
	}
}

// frameSeparator ends every event in wire form.
var frameSeparator = []byte("\n\n")

// forEachChunk calls visit with the JSON of every chunk in the frames.
func forEachChunk(frames []byte, visit func(data []byte) error) error {
	for len(frames) > 0 {
		size := bytes.Index(frames, frameSeparator) + len(frameSeparator)
		if err := visit(stream.FrameData(frames[:size], api.EventPiece)); err != nil {
			return err
		}
		frames = frames[size:]
	}
	return nil
}
