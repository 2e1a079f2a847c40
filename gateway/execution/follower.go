package execution

import "context"

// Follower reads the output of an execution from its beginning. It is not safe for
// concurrent use.
type Follower struct {
	execution *Execution
	updated   chan struct{} // receives a value after events were appended or the result was set
	offset    int64         // position of the next event to read in the whole stream, in bytes
	buffer    []byte        // events returned by the last call of Next
}

// Next returns the events that were appended since the last call, or the result once
// all events have been read. It blocks until one of them is available; if ctx ends
// first, it returns the cause. The events are valid until the next call.
func (f *Follower) Next(ctx context.Context) (frames []byte, result *Result, err error) {
	for {
		frames, result = f.read()
		if len(frames) > 0 || result != nil {
			return frames, result, nil
		}
		select {
		case <-f.updated:
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		}
	}
}

// read returns the unread events, or the result if there are none; nothing if the
// follower must wait.
func (f *Follower) read() ([]byte, *Result) {
	e := f.execution
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.released && e.offset > f.offset {
		return nil, &Result{Failure: outputDiscarded(e.RequestID)}
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

// Close removes the follower. If it was the last one and the execution has not
// finished, the execution is canceled with ErrAbandoned.
func (f *Follower) Close() {
	e := f.execution
	e.mutex.Lock()
	delete(e.followers, f)
	abandoned := len(e.followers) == 0 && e.result == nil
	e.mutex.Unlock()
	if abandoned {
		e.cancel(ErrAbandoned)
	}
	select {
	case e.consumed <- struct{}{}:
	default:
	}
}
