package transport

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// pendingCall is a call without its reply. The link's mutex guards it until done
// is closed; body and err are read after that.
type pendingCall struct {
	id      uint64
	done    chan struct{}
	written bool // the peer may have seen the request
	body    cbor.RawMessage
	err     error
}

// enqueueCall queues the request of a call.
func (l *link) enqueueCall(call *pendingCall, kind Kind, frame []byte) pushResult {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := l.queue.push(outgoing{kind: kind, frame: frame, call: call})
	if result == pushed {
		l.pending[call.id] = call
	}
	return result
}

// await returns the body of the reply to a queued call.
func (l *link) await(ctx context.Context, call *pendingCall) (cbor.RawMessage, error) {
	select {
	case <-call.done:
		return call.body, call.err
	case <-ctx.Done():
		return nil, l.cancelCall(call, ctx.Err())
	case <-l.node.closing:
		return nil, l.cancelCall(call, ErrClosed)
	}
}

// cancelCall stops waiting for a call and tells the peer so if the request was
// written. It returns the call's error.
func (l *link) cancelCall(call *pendingCall, cause error) error {
	if !l.removeCall(call) {
		return fmt.Errorf("%w to %s: %w", ErrNotSent, l.address, cause)
	}
	if frame, err := encodeFrame(envelope{Type: frameCancel, ID: call.id}, maxControlFrameBytes); err == nil {
		l.queue.push(outgoing{frame: frame})
	}
	return fmt.Errorf("transport: call to %s: %w", l.address, cause)
}

// removeCall removes a call and reports whether its request was written.
func (l *link) removeCall(call *pendingCall) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, call.id)
	return call.written
}

// markWritten records that an item is about to be written: from here on the peer
// may see it. It returns false for a call that nobody waits for any more.
func (l *link) markWritten(item outgoing) bool {
	if item.call == nil {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, waiting := l.pending[item.call.id]
	item.call.written = waiting
	return waiting
}

// completeCall ends a call, unless it has ended.
func (l *link) completeCall(id uint64, body cbor.RawMessage, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call, found := l.pending[id]
	if !found {
		return
	}
	delete(l.pending, id)
	call.body = body
	call.err = err
	close(call.done)
}

// failWrittenCalls ends the calls whose replies were due on a connection that is
// lost. Those not written yet go out on the next one.
func (l *link) failWrittenCalls(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, call := range l.pending {
		if !call.written {
			continue
		}
		delete(l.pending, id)
		call.err = cause
		close(call.done)
	}
}

// drop gives up an item that was not written.
func (l *link) drop(item outgoing, cause error) {
	l.node.counters.dropped(item.kind)
	if item.call != nil {
		l.completeCall(item.call.id, nil, cause)
	}
}

func (l *link) dropQueued(cause error) {
	for _, item := range l.queue.takeAll() {
		l.drop(item, cause)
	}
}
