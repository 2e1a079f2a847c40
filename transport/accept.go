package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of one accepted connection.
const (
	maxCallsPerConnection = 1024
	replyStall            = 5 * time.Second // longest time that a chunk of a reply may take
	acceptPause           = 10 * time.Millisecond
)

func (n *Node) acceptLoop() {
	for {
		raw, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) || n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.logger.Warn("accepting a peer failed", "error", err)
			time.Sleep(acceptPause) // out of descriptors, most likely
			continue
		}
		n.admit(raw)
	}
}

func (n *Node) admit(raw net.Conn) {
	select {
	case n.handshakes <- struct{}{}:
	default:
		raw.Close()
		return
	}
	if !n.track(raw) || !n.spawn(func() { n.serveAccepted(raw) }) {
		<-n.handshakes
		raw.Close()
	}
}

func (n *Node) serveAccepted(raw net.Conn) {
	defer n.release(raw)
	peer, what, err := acceptHandshake(raw, n.config.Name, *n.keys.Load(), time.Now().Add(n.config.HandshakeTimeout))
	<-n.handshakes
	if err != nil {
		n.logger.Warn("peer refused", "remote", raw.RemoteAddr().String(), "error", err)
		return
	}
	connection := newConn(raw, peer, n)
	if what == purposeStreams {
		n.serveStreams(connection)
		return
	}
	newAccepted(n, connection).serve()
}

// accepted serves the one-way messages and calls of one peer's connection.
type accepted struct {
	node       *Node
	connection *conn
	ctx        context.Context
	cancel     context.CancelFunc
	oneWay     chan envelope
	group      sync.WaitGroup

	mutex sync.Mutex
	calls map[uint64]context.CancelFunc
}

func newAccepted(node *Node, connection *conn) *accepted {
	ctx, cancel := context.WithCancel(node.ctx)
	return &accepted{node: node, connection: connection, ctx: ctx, cancel: cancel, calls: make(map[uint64]context.CancelFunc)}
}

func (a *accepted) serve() {
	defer a.group.Wait()
	defer a.cancel()
	defer func() {
		if a.oneWay != nil {
			close(a.oneWay)
		}
	}()
	var received envelope
	for {
		if err := a.connection.read(&received); err != nil {
			return
		}
		switch received.Type {
		case frameOneWay:
			a.queueOneWay(received)
		case frameRequest:
			a.startCall(received)
		case frameCancel:
			a.cancelCall(received.ID)
		case framePing:
			if err := a.connection.pong(replyStall); err != nil {
				return
			}
		default:
			return // a peer that breaks the protocol
		}
	}
}

// queueOneWay hands a message to the goroutine that handles them in their order.
func (a *accepted) queueOneWay(message envelope) {
	if a.oneWay == nil {
		a.oneWay = make(chan envelope, a.node.config.QueueLength)
		a.group.Go(a.handleOneWay)
	}
	select {
	case a.oneWay <- message:
	default:
		a.node.counters.dropped(message.Kind)
	}
}

func (a *accepted) handleOneWay() {
	for message := range a.oneWay {
		if a.ctx.Err() != nil {
			return
		}
		handler, found := a.node.handlers[message.Kind]
		if !found {
			a.node.counters.dropped(message.Kind)
			continue
		}
		if _, err := handler(a.ctx, a.connection.peer, decoder(message.Body)); err != nil {
			a.node.logger.Debug("one-way message failed", "kind", message.Kind, "peer", a.connection.peer, "error", err)
		}
	}
}

func decoder(body cbor.RawMessage) func(any) error {
	return func(into any) error { return decodeBody(body, into) }
}

func (a *accepted) startCall(request envelope) {
	handler, found := a.node.handlers[request.Kind]
	if !found {
		a.answer(request, nil, fmt.Errorf("no handler for kind %d", request.Kind))
		return
	}
	ctx, cancel := boundedContext(a.ctx, request.LeftMS)
	a.mutex.Lock()
	full := len(a.calls) >= maxCallsPerConnection
	if !full {
		a.calls[request.ID] = cancel
	}
	a.mutex.Unlock()
	if full {
		cancel()
		a.node.counters.dropped(request.Kind)
		a.answer(request, nil, errors.New("too many calls at once on one connection"))
		return
	}
	a.group.Go(func() {
		defer a.cancelCall(request.ID)
		reply, err := handler(ctx, a.connection.peer, decoder(request.Body))
		if a.ctx.Err() == nil {
			a.answer(request, reply, err)
		}
	})
}

func boundedContext(parent context.Context, leftMS int64) (context.Context, context.CancelFunc) {
	if leftMS <= 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(leftMS)*time.Millisecond)
}

func (a *accepted) cancelCall(id uint64) {
	a.mutex.Lock()
	cancel, found := a.calls[id]
	delete(a.calls, id)
	a.mutex.Unlock()
	if found {
		cancel()
	}
}

func (a *accepted) answer(request envelope, reply any, failure error) {
	head := envelope{Type: frameReply, ID: request.ID, Kind: request.Kind}
	frame, err := []byte(nil), failure
	if failure == nil {
		frame, err = encodeMessage(head, reply, a.node.config.MaxFrameBytes)
	}
	if err != nil {
		head.Type = frameFailure
		head.Problem = boundedProblem(err)
		frame, err = encodeFrame(head, a.node.config.MaxFrameBytes)
	}
	if err == nil {
		err = a.connection.write(request.Kind, frame, replyStall)
	}
	if err != nil {
		a.connection.raw.Close()
	}
}

const maxProblemBytes = 4 << 10

func boundedProblem(err error) string {
	text := err.Error()
	return text[:min(len(text), maxProblemBytes)]
}
