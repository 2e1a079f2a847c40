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

// keptStreamBytes bounds the events of one stream that are kept for those who
// join late, and how far its slowest reader may lag behind.
const keptStreamBytes = 256 << 10

// The first room for a stream's events, in bytes: enough for most streams, so
// that they never grow it.
const (
	typicalFrame = 160
	firstFrames  = 32 << 10
)

// errAbandoned is the cause of a cancellation after the last reader left.
var errAbandoned = errors.New("gateway: the caller went away")

// result is how an execution ended. Exactly one of its pointers is set.
type result struct {
	answer  *api.GenerateAnswer
	end     *api.StreamEnd
	failure *api.Error
	// attempts is the number of attempts that may have reached a replica.
	attempts int
}

// state is what the owner's ledger keeps of the result.
func (r *result) state() ticket.State {
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

// execution is one run of a request and its output. One producer fills it; any
// number of followers read it, each from the beginning.
type execution struct {
	requestID string
	stream    bool
	cancel    context.CancelCauseFunc
	// drained wakes the producer when a follower has read.
	drained chan struct{}

	mutex     sync.Mutex
	frames    []byte // events in wire form
	first     int64  // position of frames[0] in the whole stream
	result    *result
	released  bool
	followers map[*follower]struct{}
}

var _ ticket.Run = (*execution)(nil)

// newExecution returns an execution of a request for maxTokens tokens at the most.
func newExecution(requestID string, streamed bool, maxTokens int, cancel context.CancelCauseFunc) *execution {
	var frames []byte
	if streamed {
		frames = make([]byte, 0, min(maxTokens*typicalFrame, firstFrames))
	}
	return &execution{
		requestID: requestID,
		stream:    streamed,
		frames:    frames,
		cancel:    cancel,
		drained:   make(chan struct{}, 1),
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

// Release implements ticket.Run. Failures are kept: a refusal is repeated for
// as long as its ticket is remembered.
func (e *execution) Release() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.released = true
	e.first += int64(len(e.frames))
	e.frames = nil
	if e.result != nil && e.result.failure == nil {
		e.result = &result{failure: beyondKept(e.requestID)}
	}
}

// beyondKept answers a reader who comes after the output was let go.
func beyondKept(requestID string) *api.Error {
	return &api.Error{
		Code:      api.CodeDuplicate,
		Outcome:   api.OutcomeUnknown,
		Message:   "the request was sent before and its output is no longer kept",
		RequestID: requestID,
	}
}

// piece appends one event. It waits while the slowest follower lags too far
// behind.
func (e *execution) piece(ctx context.Context, data []byte) error {
	e.mutex.Lock()
	e.frames = stream.AppendFrame(e.frames, api.EventPiece, data)
	e.notify()
	for len(e.frames) > keptStreamBytes && !e.trim() {
		e.mutex.Unlock()
		select {
		case <-e.drained:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		e.mutex.Lock()
	}
	e.mutex.Unlock()
	return nil
}

// trim lets go of events that every follower has read, down to half of what may
// be kept. It reports false if there is nothing to let go.
func (e *execution) trim() bool {
	cut := len(e.frames) - keptStreamBytes/2
	for reader := range e.followers {
		cut = min(cut, int(reader.position-e.first))
	}
	if cut <= 0 {
		return false
	}
	e.first += int64(cut)
	e.frames = append(e.frames[:0], e.frames[cut:]...)
	return true
}

// pieces tells whether any event has been appended.
func (e *execution) pieces() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.first > 0 || len(e.frames) > 0
}

// finish sets the result, once.
func (e *execution) finish(r *result) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.result == nil {
		e.result = r
		e.notify()
	}
}

func (e *execution) notify() {
	for reader := range e.followers {
		select {
		case reader.news <- struct{}{}:
		default:
		}
	}
}

// follow adds a reader. It fails if the beginning of the stream is gone.
func (e *execution) follow(streamed bool) (*follower, *api.Error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	failed := e.result != nil && e.result.failure != nil
	if e.stream != streamed || (e.first > 0 && !failed) {
		return nil, beyondKept(e.requestID)
	}
	reader := &follower{execution: e, news: make(chan struct{}, 1)}
	if e.first > 0 {
		reader.position = e.first + int64(len(e.frames))
	}
	e.followers[reader] = struct{}{}
	return reader, nil
}

// follower reads an execution's output. It is not safe for concurrent use.
type follower struct {
	execution *execution
	news      chan struct{}
	position  int64
	buffer    []byte
}

// next returns all events that have come since the last call, valid until the
// next one, or the result after the last event.
func (f *follower) next(ctx context.Context) (frames []byte, ended *result, err error) {
	for {
		frames, ended = f.read()
		if len(frames) > 0 || ended != nil {
			return frames, ended, nil
		}
		select {
		case <-f.news:
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		}
	}
}

func (f *follower) read() ([]byte, *result) {
	e := f.execution
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.released && e.first > f.position {
		return nil, &result{failure: beyondKept(e.requestID)}
	}
	unread := e.frames[f.position-e.first:]
	if len(unread) == 0 {
		return nil, e.result
	}
	f.buffer = append(f.buffer[:0], unread...)
	f.position += int64(len(unread))
	select {
	case e.drained <- struct{}{}:
	default:
	}
	return f.buffer, nil
}

// leave ends the reading. The execution is canceled when the last reader of an
// unfinished one leaves.
func (f *follower) leave() {
	e := f.execution
	e.mutex.Lock()
	delete(e.followers, f)
	abandoned := len(e.followers) == 0 && e.result == nil
	e.mutex.Unlock()
	if abandoned {
		e.cancel(errAbandoned)
	}
	select {
	case e.drained <- struct{}{}:
	default:
	}
}

var frameBreak = []byte("\n\n")

// eachPiece calls visit with the JSON of every piece in the frames.
func eachPiece(frames []byte, visit func(data []byte) error) error {
	for len(frames) > 0 {
		size := bytes.Index(frames, frameBreak) + len(frameBreak)
		if err := visit(stream.FrameData(frames[:size], api.EventPiece)); err != nil {
			return err
		}
		frames = frames[size:]
	}
	return nil
}
