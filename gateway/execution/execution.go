// Package execution holds the output of a request while it runs and after it: one
// producer appends to it, and any number of callers that sent the same request read it.
package execution

import (
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

// ErrAbandoned is the cause of a cancellation after the last reader has left.
var ErrAbandoned = errors.New("gateway: the caller went away")

// Result is how an execution ended. Exactly one of its pointers is set.
type Result struct {
	Answer  *api.GenerateAnswer
	End     *api.StreamEnd
	Failure *api.Error
	// Attempts is the number of attempts that may have reached a replica.
	Attempts int
}

// TicketState is the state that the ticket table records of the result.
func (r *Result) TicketState() ticket.State {
	if r.Failure == nil {
		return ticket.StateCompleted
	}
	switch r.Failure.Outcome {
	case api.OutcomeRefused:
		return ticket.StateRejected
	case api.OutcomeFailed:
		return ticket.StateFailed
	default:
		return ticket.StateUnknown
	}
}

// Execution is one run of a request and its output. One producer writes it; any
// number of followers read it, each from the beginning. It is safe for concurrent use.
type Execution struct {
	// RequestID is the id of the request; it never changes.
	RequestID string
	stream    bool
	cancel    context.CancelCauseFunc
	// consumed wakes the producer when a follower has read.
	consumed chan struct{}

	mutex     sync.Mutex
	frames    []byte // events in wire form
	offset    int64  // position of frames[0] in the whole stream
	result    *Result
	released  bool
	followers map[*Follower]struct{}
}

var _ ticket.Run = (*Execution)(nil)

// New returns an execution of a request with at most maxTokens output tokens. It calls
// cancel with ErrAbandoned if the last reader leaves before there is a result.
func New(requestID string, streamed bool, maxTokens int, cancel context.CancelCauseFunc) *Execution {
	var frames []byte
	if streamed {
		frames = make([]byte, 0, min(maxTokens*typicalFrameBytes, maxInitialBufferBytes))
	}
	return &Execution{
		RequestID: requestID,
		stream:    streamed,
		frames:    frames,
		cancel:    cancel,
		consumed:  make(chan struct{}, 1),
		followers: make(map[*Follower]struct{}, 1),
	}
}

// RetainedBytes implements ticket.Run.
func (e *Execution) RetainedBytes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	size := cap(e.frames)
	if e.result != nil && e.result.Answer != nil {
		size += len(e.result.Answer.Text)
	}
	return size
}

// Release implements ticket.Run. Failures are retained: a refusal is repeated for as
// long as its ticket is remembered.
func (e *Execution) Release() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.released = true
	e.offset += int64(len(e.frames))
	e.frames = nil
	if e.result != nil && e.result.Failure == nil {
		e.result = &Result{Failure: outputDiscarded(e.RequestID)}
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

// AppendChunk appends one event. It blocks while the slowest follower lags too far
// behind.
func (e *Execution) AppendChunk(ctx context.Context, data []byte) error {
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
func (e *Execution) trim() bool {
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

// HasOutput reports whether any event has been appended.
func (e *Execution) HasOutput() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.offset > 0 || len(e.frames) > 0
}

// Finish sets the result; only the first call has an effect.
func (e *Execution) Finish(r *Result) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.result == nil {
		e.result = r
		e.notifyFollowers()
	}
}

// Result returns the result; nil while there is none.
func (e *Execution) Result() *Result {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.result
}

// Followers returns the number of readers that have not closed.
func (e *Execution) Followers() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.followers)
}

// notifyFollowers wakes the followers. The caller holds the mutex.
func (e *Execution) notifyFollowers() {
	for reader := range e.followers {
		select {
		case reader.updated <- struct{}{}:
		default:
		}
	}
}

// Follow adds a reader. It fails if the beginning of the stream was discarded.
func (e *Execution) Follow(streamed bool) (*Follower, *api.Error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	failed := e.result != nil && e.result.Failure != nil
	if e.stream != streamed || (e.offset > 0 && !failed) {
		return nil, outputDiscarded(e.RequestID)
	}
	reader := &Follower{execution: e, updated: make(chan struct{}, 1)}
	if e.offset > 0 {
		reader.offset = e.offset + int64(len(e.frames))
	}
	e.followers[reader] = struct{}{}
	return reader, nil
}
