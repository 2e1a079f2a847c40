package transport

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Timing of links.
const (
	probeAfter   = 250 * time.Millisecond // silence after a frame of ours until a ping
	silenceLimit = time.Second            // silence after a frame of ours until the connection is replaced
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 500 * time.Millisecond
	linkIdle     = 5 * time.Minute // without a frame of ours until the connection is closed

	// firstDialPart of DialTimeout bounds the first dialling of an address, and the
	// next ones twice as long each: a machine that has just got its power back does
	// not see the packet that was sent before, and TCP repeats it after a second.
	firstDialPart = 4
)

var (
	errQueueFull = errors.New("the queue of this address is full")
	errLinkIdle  = errors.New("nothing was sent for long")
)

// pendingCall waits for its reply.
type pendingCall struct {
	id      uint64
	done    chan struct{}
	written bool
	body    cbor.RawMessage
	err     error
}

// link keeps one connection to one address: it dials when there is something to
// send, replaces a broken or silent connection, and backs off while the address
// cannot be reached.
type link struct {
	node    *Node
	address string
	queue   *sendQueue

	mutex   sync.Mutex
	pending map[uint64]*pendingCall
}

func newLink(node *Node, address string) *link {
	return &link{
		node:    node,
		address: address,
		queue:   newSendQueue(node.config.QueueLength),
		pending: make(map[uint64]*pendingCall),
	}
}

// await waits for the reply's body of a request that was pushed.
func (l *link) await(ctx context.Context, waiting *pendingCall) (cbor.RawMessage, error) {
	select {
	case <-waiting.done:
		return waiting.body, waiting.err
	case <-ctx.Done():
		return nil, l.giveUp(waiting, ctx.Err())
	case <-l.node.ctx.Done():
		return nil, l.giveUp(waiting, ErrClosed)
	}
}

// begin queues a request.
func (l *link) begin(waiting *pendingCall, kind Kind, frame []byte) pushResult {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	result := l.queue.push(outgoing{kind: kind, frame: frame, call: waiting})
	if result == pushed {
		l.pending[waiting.id] = waiting
	}
	return result
}

// abandon forgets a call and says whether it was written.
func (l *link) abandon(waiting *pendingCall) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, waiting.id)
	return waiting.written
}

func (l *link) giveUp(waiting *pendingCall, cause error) error {
	if !l.abandon(waiting) {
		return fmt.Errorf("%w to %s: %w", ErrNotSent, l.address, cause)
	}
	if frame, err := encodeFrame(envelope{Type: frameCancel, ID: waiting.id}, handshakeFrame); err == nil {
		l.queue.push(outgoing{frame: frame})
	}
	return fmt.Errorf("transport: call to %s: %w", l.address, cause)
}

// run is the link's goroutine until the node closes or the link is long unused.
func (l *link) run() {
	backoff := firstBackoff
	dialTimeout := l.node.config.DialTimeout / firstDialPart
	for {
		first, found := l.next()
		if !found {
			return
		}
		connection, err := l.node.connect(l.node.ctx, l.address, purposeMessages, dialTimeout)
		if err != nil {
			l.node.logger.Debug("peer cannot be reached", "address", l.address, "error", err)
			l.refuse(first, err)
			l.refuseQueued(err)
			l.pause(jitter(backoff))
			backoff = min(2*backoff, lastBackoff)
			dialTimeout = min(2*dialTimeout, l.node.config.DialTimeout)
			continue
		}
		dialTimeout = l.node.config.DialTimeout / firstDialPart
		if l.serve(connection, first) {
			backoff = firstBackoff
			continue
		}
		l.pause(jitter(backoff))
		backoff = min(2*backoff, lastBackoff)
	}
}

// next waits for something to send; false when the link must end.
func (l *link) next() (outgoing, bool) {
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		if item, found := l.queue.take(); found {
			return item, true
		}
		select {
		case <-l.queue.wake:
		case <-idle.C:
			if l.node.retire(l) {
				return outgoing{}, false
			}
			idle.Reset(linkIdle)
		case <-l.node.ctx.Done():
			return outgoing{}, false
		}
	}
}

func jitter(bound time.Duration) time.Duration {
	return bound/2 + rand.N(bound/2)
}

func (l *link) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.node.ctx.Done():
	}
}

func (l *link) refuseQueued(cause error) {
	for _, item := range l.queue.takeAll() {
		l.refuse(item, cause)
	}
}

// refuse gives up a frame that was not written.
func (l *link) refuse(item outgoing, cause error) {
	l.node.counters.dropped(item.kind)
	if item.call != nil {
		l.finish(item.call.id, nil, cause)
	}
}

// finish ends a call, unless it has ended.
func (l *link) finish(id uint64, body cbor.RawMessage, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	waiting, found := l.pending[id]
	if !found {
		return
	}
	delete(l.pending, id)
	waiting.body = body
	waiting.err = err
	close(waiting.done)
}

// serve uses one connection until it breaks or falls silent. It says whether
// the peer was heard on it.
func (l *link) serve(connection *conn, first outgoing) bool {
	broken := make(chan struct{})
	opened := connection.heard.Load()
	go func() {
		defer close(broken)
		l.readReplies(connection)
	}()
	cause := l.writeLoop(connection, first, broken)
	l.node.release(connection.raw)
	<-broken
	l.failWritten(fmt.Errorf("%w to %s: %w", ErrConnectionLost, l.address, cause))
	l.node.logger.Debug("connection ended", "address", l.address, "cause", cause)
	return connection.heard.Load() > opened
}

func (l *link) writeLoop(connection *conn, first outgoing, broken <-chan struct{}) error {
	probe := newProbe(connection)
	defer probe.stop()
	if err := l.write(connection, probe, first); err != nil {
		return err
	}
	for {
		select {
		case <-l.queue.wake:
			if err := l.writeQueued(connection, probe); err != nil {
				return err
			}
		case <-probe.timer.C:
			if err := probe.check(); err != nil {
				return err
			}
		case <-broken:
			return errPeerClosed
		case <-l.node.ctx.Done():
			return ErrClosed
		}
	}
}

func (l *link) writeQueued(connection *conn, probe *probe) error {
	for {
		item, found := l.queue.take()
		if !found {
			return nil
		}
		if err := l.write(connection, probe, item); err != nil {
			return err
		}
	}
}

func (l *link) write(connection *conn, probe *probe, item outgoing) error {
	if !l.claim(item) {
		return nil
	}
	if err := connection.write(item.kind, item.frame, silenceLimit); err != nil {
		return err
	}
	probe.wrote()
	return nil
}

// claim marks a call as written; false if its caller has gone.
func (l *link) claim(item outgoing) bool {
	if item.call == nil {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, waiting := l.pending[item.call.id]
	item.call.written = waiting
	return waiting
}

func (l *link) failWritten(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, waiting := range l.pending {
		if !waiting.written {
			continue
		}
		delete(l.pending, id)
		waiting.err = cause
		close(waiting.done)
	}
}

func (l *link) readReplies(connection *conn) {
	var received envelope
	for {
		if err := connection.read(&received); err != nil {
			return
		}
		switch received.Type {
		case frameReply:
			l.finish(received.ID, received.Body, nil)
		case frameFailure:
			l.finish(received.ID, nil, &RemoteError{Kind: received.Kind, Message: received.Problem})
		case framePong:
		default:
			return // a peer that breaks the protocol
		}
	}
}
