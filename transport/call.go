package transport

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// pendingCall is a call that waits for its reply. The link's mutex guards it until
// done is closed; body and err may be read only after that.
type pendingCall struct {
	id      uint64
	done    chan struct{}
	written bool // the peer may have seen the request
	body    cbor.RawMessage
	err     error
}

// enqueueCall queues the request of a call and registers the call for its reply.
func (l *link) enqueueCall(call *pendingCall, kind Kind, frame []byte) pushResult {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := l.queue.push(outgoing{kind: kind, frame: frame, call: call})
	if result == pushed {
		l.pending[call.id] = call
	}
	return result
}

// awaitReply waits for the reply to a queued call and returns its body.
func (l *link) awaitReply(ctx context.Context, call *pendingCall) (cbor.RawMessage, error) {
	select {
	case <-call.done:
		return call.body, call.err
	case <-ctx.Done():
		return nil, l.cancelCall(call, ctx.Err())
	case <-l.node.closing:
		return nil, l.cancelCall(call, ErrClosed)
	}
}

// cancelCall stops waiting for a call and, if the request was written, sends a
// cancellation to the peer. It returns the error of the call.
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

// markWritten records that an item is about to be written, after which the peer may
// see it. It returns false for a canceled call, which must not be written.
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

// completeCall completes a call with a reply or an error. It does nothing if the call
// is no longer pending.
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

// failWrittenCalls fails the calls whose requests were written to a connection that
// is lost. Calls that are still queued are sent on the next connection.
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

// dropItem discards an item that was not written, and fails its call if it has one.
func (l *link) dropItem(item outgoing, cause error) {
	l.node.counters.dropped(item.kind)
	if item.call != nil {
		l.completeCall(item.call.id, nil, cause)
	}
}

// dropQueued drops all queued items.
func (l *link) dropQueued(cause error) {
	for _, item := range l.queue.takeAll() {
		l.dropItem(item, cause)
	}
}
