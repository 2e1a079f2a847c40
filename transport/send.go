package transport

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var errQueueFull = errors.New("the send queue of this address is full")

// dropRule reports whether to drop a message before it is sent. Tests use it to
// simulate loss.
type dropRule func(address string, kind Kind) bool

func (n *Node) shouldDrop(address string, kind Kind) bool {
	rule := n.dropRule.Load()
	return rule != nil && (*rule)(address, kind)
}

// Send implements Network.
func (n *Node) Send(address string, kind Kind, message any) {
	if n.shouldDrop(address, kind) {
		n.counters.dropped(kind)
		return
	}
	frame, err := encodeMessage(envelope{Type: frameOneWay, Kind: kind}, message, n.config.MaxFrameBytes)
	if err != nil {
		n.logger.Error("encoding a one-way message failed", "kind", kind, "error", err)
		n.counters.dropped(kind)
		return
	}
	err = n.enqueue(address, func(l *link) pushResult {
		return l.queue.push(outgoing{kind: kind, frame: frame})
	})
	if err != nil {
		n.counters.dropped(kind)
	}
}

// Call implements Network. An error that wraps ErrNotSent means that the peer has
// not seen the request.
func (n *Node) Call(ctx context.Context, address string, kind Kind, request, reply any) error {
	if n.shouldDrop(address, kind) {
		n.counters.dropped(kind)
		<-ctx.Done()
		return ctx.Err()
	}
	head := envelope{Type: frameRequest, ID: n.callID.Add(1), Kind: kind, TimeoutMS: remainingMillis(ctx)}
	frame, err := encodeMessage(head, request, n.config.MaxFrameBytes)
	if err != nil {
		return fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	call := &pendingCall{id: head.ID, done: make(chan struct{})}
	var used *link
	err = n.enqueue(address, func(l *link) pushResult {
		used = l
		return l.enqueueCall(call, kind, frame)
	})
	if err != nil {
		return err
	}
	body, err := used.awaitReply(ctx, call)
	if err != nil {
		return err
	}
	if err := decodeBody(body, reply); err != nil {
		return fmt.Errorf("transport: reply of kind %d from %s: %w", kind, address, err)
	}
	return nil
}

// enqueue calls push with the link to the address. It tries again with a new link if
// that one has just been retired.
func (n *Node) enqueue(address string, push func(*link) pushResult) error {
	for {
		link, err := n.link(address)
		if err != nil {
			return err
		}
		switch push(link) {
		case pushed:
			return nil
		case queueFull:
			return fmt.Errorf("%w to %s: %w", ErrNotSent, address, errQueueFull)
		case queueRetired:
		}
	}
}

// remainingMillis returns the time until the context's deadline in milliseconds, at
// least 1. It returns 0 if the context has no deadline.
func remainingMillis(ctx context.Context) int64 {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}
