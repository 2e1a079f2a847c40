package transport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Timing of links.
const (
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	idleLinkTimeout = 5 * time.Minute // a link ends after this time without a sent frame

	// firstDialDivisor divides DialTimeout for the first attempt to connect. Each
	// further attempt has twice the timeout of the previous one, up to DialTimeout.
	// A machine that has just been powered on has not received the SYN packet sent
	// before, and TCP retransmits that only after a second.
	firstDialDivisor = 4
)

// link maintains one connection to one address for messages and calls. It connects
// when there is something to send, replaces a broken or unresponsive connection, and
// backs off while the address cannot be reached.
type link struct {
	node    *Node
	address string
	queue   *sendQueue
	stop    context.CancelFunc // ends run

	mutex   sync.Mutex
	pending map[uint64]*pendingCall
}

func newLink(node *Node, address string, stop context.CancelFunc) *link {
	return &link{
		node:    node,
		address: address,
		queue:   newSendQueue(node.config.QueueLength, node.config.QueueBytes),
		stop:    stop,
		pending: make(map[uint64]*pendingCall),
	}
}

// run is the link's main loop. It returns when ctx ends or the link has been idle for
// idleLinkTimeout.
func (l *link) run(ctx context.Context) {
	firstDialTimeout := l.node.config.DialTimeout / firstDialDivisor
	backoff, dialTimeout := minBackoff, firstDialTimeout
	for {
		first, found := l.nextItem(ctx)
		if !found {
			return
		}
		connection, err := l.node.connect(ctx, l.address, purposeMessages, dialTimeout)
		if err != nil {
			l.node.logger.Debug("connecting to peer failed", "address", l.address, "error", err)
			l.dropItem(first, err)
			l.dropQueued(err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			dialTimeout = min(2*dialTimeout, l.node.config.DialTimeout)
			continue
		}
		dialTimeout = firstDialTimeout
		if l.serve(ctx, connection, first) {
			backoff = minBackoff
			continue
		}
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextItem waits for an item to send. It returns false when the link must end.
func (l *link) nextItem(ctx context.Context) (outgoing, bool) {
	idle := time.NewTimer(idleLinkTimeout)
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
			idle.Reset(idleLinkTimeout)
		case <-ctx.Done():
			return outgoing{}, false
		}
	}
}

// jitter returns a random duration between half of the bound and the bound.
func jitter(bound time.Duration) time.Duration {
	return bound/2 + rand.N(bound/2)
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve uses one connection until it is lost. It reports whether anything was
// received on it.
func (l *link) serve(ctx context.Context, connection *conn, first outgoing) bool {
	readerDone := make(chan struct{})
	opened := connection.lastReceived.Load()
	go func() {
		defer close(readerDone)
		l.readReplies(connection)
	}()
	cause := l.writeLoop(ctx, connection, first, readerDone)
	l.node.release(connection.raw)
	<-readerDone
	l.failWrittenCalls(fmt.Errorf("%w to %s: %w", ErrConnectionLost, l.address, cause))
	l.node.logger.Debug("peer connection closed", "address", l.address, "error", cause)
	return connection.lastReceived.Load() > opened
}

// writeLoop writes the first item and then all queued items until the connection is
// lost. It returns the cause of the loss.
func (l *link) writeLoop(ctx context.Context, connection *conn, first outgoing, readerDone <-chan struct{}) error {
	monitor := newLivenessMonitor(connection)
	defer monitor.stop()
	if err := l.write(connection, monitor, first); err != nil {
		return err
	}
	for {
		select {
		case <-l.queue.wake:
			if err := l.writeQueued(connection, monitor); err != nil {
				return err
			}
		case <-monitor.timer.C:
			if err := monitor.check(); err != nil {
				return err
			}
		case <-readerDone:
			return errPeerClosed
		case <-ctx.Done():
			return ErrClosed
		}
	}
}

func (l *link) writeQueued(connection *conn, monitor *livenessMonitor) error {
	for {
		item, found := l.queue.take()
		if !found {
			return nil
		}
		if err := l.write(connection, monitor, item); err != nil {
			return err
		}
	}
}

func (l *link) write(connection *conn, monitor *livenessMonitor, item outgoing) error {
	if !l.markWritten(item) {
		return nil
	}
	if err := connection.write(item.kind, item.frame, unresponsiveTimeout); err != nil {
		return err
	}
	monitor.recordWrite()
	return nil
}

// readReplies completes calls with the replies received, until the connection ends or
// the peer violates the protocol.
func (l *link) readReplies(connection *conn) {
	var received envelope
	for {
		if err := connection.read(&received); err != nil {
			return
		}
		switch received.Type {
		case frameReply:
			l.completeCall(received.ID, received.Body, nil)
		case frameFailure:
			l.completeCall(received.ID, nil, &RemoteError{Kind: received.Kind, Message: received.Error})
		case framePong:
		default:
			return // protocol violation
		}
	}
}
