package transport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of one accepted connection.
const (
	maxCallsPerConnection = 1024
	replyWriteTimeout     = 5 * time.Second // for each chunk of a reply
	maxErrorBytes         = 4 << 10         // of the text of a handler's error, as sent to the peer
)

// inbound serves the one-way messages and calls of one accepted connection. Calls are
// handled concurrently, one-way messages sequentially.
type inbound struct {
	node       *Node
	connection *conn
	oneWay     chan envelope // created for the first one-way message
	// oneWayBytes is the size of the bodies of the messages in oneWay.
	oneWayBytes atomic.Int64
	group       sync.WaitGroup

	mutex sync.Mutex
	calls map[uint64]context.CancelFunc
}

func newInbound(node *Node, connection *conn) *inbound {
	return &inbound{node: node, connection: connection, calls: make(map[uint64]context.CancelFunc)}
}

// serve reads and dispatches frames. It returns when the connection has ended and its
// handlers have returned.
func (i *inbound) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer i.group.Wait()
	defer cancel()
	defer func() {
		if i.oneWay != nil {
			close(i.oneWay)
		}
	}()
	var received envelope
	for {
		if err := i.connection.read(&received); err != nil {
			return
		}
		switch received.Type {
		case frameOneWay:
			i.queueOneWay(ctx, received)
		case frameRequest:
			i.startCall(ctx, received)
		case frameCancel:
			i.endCall(received.ID)
		case framePing:
			if err := i.connection.writePong(replyWriteTimeout); err != nil {
				return
			}
		default:
			return // protocol violation
		}
	}
}

// queueOneWay passes a message to the goroutine that handles one-way messages in the
// order of their arrival. It drops the message if the queue is full, by the number of
// messages or by their bytes, since the connection's calls and pings must not wait for a
// slow handler.
func (i *inbound) queueOneWay(ctx context.Context, message envelope) {
	if i.oneWay == nil {
		i.oneWay = make(chan envelope, i.node.config.QueueLength)
		i.group.Go(func() { i.handleOneWay(ctx) })
	}
	size := int64(len(message.Body))
	queued := i.oneWayBytes.Load()
	if queued > 0 && queued+size > int64(i.node.config.QueueBytes) {
		i.node.counters.dropped(message.Kind)
		return
	}
	i.oneWayBytes.Add(size)
	select {
	case i.oneWay <- message:
	default:
		i.oneWayBytes.Add(-size)
		i.node.counters.dropped(message.Kind)
	}
}

func (i *inbound) handleOneWay(ctx context.Context) {
	for message := range i.oneWay {
		i.oneWayBytes.Add(-int64(len(message.Body)))
		if ctx.Err() != nil {
			return
		}
		handler, found := i.node.handlers[message.Kind]
		if !found {
			i.node.counters.dropped(message.Kind)
			continue
		}
		if _, err := handler(ctx, i.connection.peer, bodyDecoder(message.Body)); err != nil {
			i.node.logger.Debug("handling a one-way message failed", "kind", message.Kind, "peer", i.connection.peer, "error", err)
		}
	}
}

func bodyDecoder(body cbor.RawMessage) func(any) error {
	return func(into any) error { return decodeBody(body, into) }
}

func (i *inbound) startCall(ctx context.Context, request envelope) {
	id, kind := request.ID, request.Kind
	handler, found := i.node.handlers[kind]
	if !found {
		i.reply(id, kind, nil, fmt.Errorf("no handler for kind %d", kind))
		return
	}
	callCtx, cancel := requestContext(ctx, request)
	if !i.addCall(id, cancel) {
		cancel()
		i.node.counters.dropped(kind)
		i.reply(id, kind, nil, errors.New("too many calls at once on one connection"))
		return
	}
	decode := bodyDecoder(request.Body)
	i.group.Go(func() {
		defer i.endCall(id)
		reply, err := handler(callCtx, i.connection.peer, decode)
		if ctx.Err() == nil {
			i.reply(id, kind, reply, err)
		}
	})
}

// requestContext returns the context of a request's handler. It has the timeout that the
// caller sent, if any.
func requestContext(parent context.Context, request envelope) (context.Context, context.CancelFunc) {
	if request.TimeoutMS <= 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(request.TimeoutMS)*time.Millisecond)
}

// addCall registers a running call. It returns false if maxCallsPerConnection calls are
// running.
func (i *inbound) addCall(id uint64, cancel context.CancelFunc) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.calls) >= maxCallsPerConnection {
		return false
	}
	i.calls[id] = cancel
	return true
}

// endCall removes a call that has ended or was canceled by the caller, and cancels its
// context.
func (i *inbound) endCall(id uint64) {
	i.mutex.Lock()
	cancel, found := i.calls[id]
	delete(i.calls, id)
	i.mutex.Unlock()
	if found {
		cancel()
	}
}

// reply sends the handler's reply, its error, or the error of encoding the reply. It
// closes the connection if sending fails.
func (i *inbound) reply(id uint64, kind Kind, reply any, failure error) {
	head := envelope{Type: frameReply, ID: id, Kind: kind}
	frame, err := []byte(nil), failure
	if failure == nil {
		frame, err = encodeMessage(head, reply, i.node.config.MaxFrameBytes)
	}
	if err != nil {
		head.Type = frameFailure
		head.Error = truncatedMessage(err)
		frame, err = encodeFrame(head, i.node.config.MaxFrameBytes)
	}
	if err == nil {
		err = i.connection.write(kind, frame, replyWriteTimeout)
	}
	if err != nil {
		i.connection.raw.Close()
	}
}

// truncatedMessage returns the text of the error, cut to maxErrorBytes, as it is sent to
// the peer.
func truncatedMessage(err error) string {
	message := err.Error()
	return message[:min(len(message), maxErrorBytes)]
}
