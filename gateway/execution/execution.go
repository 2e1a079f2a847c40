// Package execution buffers the output of a request while the request runs and after
// it has finished. One producer appends the output; any number of callers that sent the
// same request read it.
package execution

import (
	"context"
	"errors"
	"sync"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/stream"
	"github.com/deckpulley/deckpulley/ticket"
)

// maxRetainedStreamBytes is the maximum size of the events of a stream that are
// retained for followers that join late. It also limits how far the slowest follower
// may lag behind the producer.
const maxRetainedStreamBytes = 256 << 10

// The initial capacity of the buffer of a stream is large enough for most streams, so
// that they never reallocate it.
const (
	// typicalFrameBytes is the capacity reserved for each output token.
	typicalFrameBytes = 160
	// maxInitialBufferBytes limits the initial capacity.
	maxInitialBufferBytes = 32 << 10
)

// ErrAbandoned is the cause of the cancellation of an unfinished execution whose last
// follower has closed.
var ErrAbandoned = errors.New("execution: the last follower has closed")

// Result is the final result of an execution. Exactly one of Answer, End and Failure
// is set.
type Result struct {
	// Answer is the complete answer of a request that is not streamed.
	Answer *api.GenerateAnswer
	// End is the last event of a complete stream.
	End *api.StreamEnd
	// Failure is the error of a request that did not complete.
	Failure *api.Error
	// Attempts is the number of attempts that may have reached a replica.
	Attempts int
}

// TicketState returns the state to record for the result in the ticket table.
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

// Execution is one run of a request and its output. One producer appends the output;
// any number of followers read it, each from the beginning. It is safe for concurrent
// use.
type Execution struct {
	// RequestID is the ID of the request. It must not be changed.
	RequestID string
	streamed  bool
	cancel    context.CancelCauseFunc
	// consumed wakes a blocked producer after a follower has read events or has closed.
	consumed chan struct{}

	mutex     sync.Mutex
	frames    []byte  // retained events in wire form
	offset    int64   // position of frames[0] in the whole stream, in bytes
	result    *Result // nil until the execution has finished
	released  bool    // Release was called
	followers map[*Follower]struct{}
}

var _ ticket.Run = (*Execution)(nil)

// New returns an execution of a request with at most maxTokens output tokens. The
// execution calls cancel with ErrAbandoned if its last follower closes before there is
// a result.
func New(requestID string, streamed bool, maxTokens int, cancel context.CancelCauseFunc) *Execution {
	var frames []byte
	if streamed {
		frames = make([]byte, 0, min(maxTokens*typicalFrameBytes, maxInitialBufferBytes))
	}
	return &Execution{
		RequestID: requestID,
		streamed:  streamed,
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

// Release implements ticket.Run: it discards the output. A failure is retained, so
// that followers get the same failure for as long as the ticket table holds the ticket.
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

// outputDiscarded returns the error for a follower that cannot read the output,
// because the output was discarded or, in Follow, because it has the other form.
func outputDiscarded(requestID string) *api.Error {
	return &api.Error{
		Code:      api.CodeDuplicate,
		Outcome:   api.OutcomeUnknown,
		Message:   "the request was sent before and its output is no longer kept",
		RequestID: requestID,
	}
}

// AppendChunk appends one event. While the slowest follower lags too far behind, it
// blocks; if ctx ends meanwhile, it returns the cause.
func (e *Execution) AppendChunk(ctx context.Context, data []byte) error {
	e.mutex.Lock()
	e.frames = stream.AppendFrame(e.frames, api.EventChunk, data)
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

// trim discards events that every follower has read, until half of
// maxRetainedStreamBytes remains. It reports whether it discarded any. The caller holds
// the mutex.
func (e *Execution) trim() bool {
	size := len(e.frames) - maxRetainedStreamBytes/2
	for follower := range e.followers {
		size = min(size, int(follower.offset-e.offset))
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

// Finish sets the result. Only the first call has an effect.
func (e *Execution) Finish(r *Result) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.result == nil {
		e.result = r
		e.notifyFollowers()
	}
}

// Result returns the result, or nil until the execution has finished.
func (e *Execution) Result() *Result {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.result
}

// Followers returns the number of followers that have not closed.
func (e *Execution) Followers() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.followers)
}

// notifyFollowers wakes the followers that wait for output. The caller holds the
// mutex.
func (e *Execution) notifyFollowers() {
	for follower := range e.followers {
		select {
		case follower.updated <- struct{}{}:
		default:
		}
	}
}

// Follow adds a follower. It fails if streamed differs from the form of the execution,
// or if the beginning of the stream was discarded and the execution has not failed. The
// follower of a failed execution whose beginning was discarded reads only the failure.
func (e *Execution) Follow(streamed bool) (*Follower, *api.Error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	failed := e.result != nil && e.result.Failure != nil
	if e.streamed != streamed || (e.offset > 0 && !failed) {
		return nil, outputDiscarded(e.RequestID)
	}
	follower := &Follower{execution: e, updated: make(chan struct{}, 1)}
	if e.offset > 0 {
		follower.offset = e.offset + int64(len(e.frames))
	}
	e.followers[follower] = struct{}{}
	return follower, nil
}
