package execution

import "context"

// Follower reads an execution's output. It is not safe for concurrent use.
type Follower struct {
	execution *Execution
	updated   chan struct{}
	offset    int64
	buffer    []byte
}

// Next returns the events appended since the last call, which are valid until the
// next call, or the result after the last event.
func (f *Follower) Next(ctx context.Context) (frames []byte, ended *Result, err error) {
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

// Close ends the reading. An unfinished execution is canceled when its last follower
// closes.
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
