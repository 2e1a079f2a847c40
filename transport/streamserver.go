package transport

import (
	"context"
	"fmt"
	"time"
)

// listenerIdleTimeout is how long the listener keeps a connection without a stream.
const listenerIdleTimeout = 2 * time.Minute

// streamServer serves the streams of one accepted connection, one after the other.
type streamServer struct {
	node       *Node
	connection *conn
	current    *streamHandling // nil before the first stream
}

// streamHandling is the run of one stream's handler.
type streamHandling struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the handler has returned and its end is sent
}

func (h *streamHandling) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

func newStreamServer(node *Node, connection *conn) *streamServer {
	return &streamServer{node: node, connection: connection}
}

// serve returns when the connection ends and the handler has returned.
func (s *streamServer) serve(ctx context.Context) {
	defer s.stop()
	var received envelope
	for {
		if err := s.connection.raw.SetReadDeadline(time.Now().Add(s.readTimeout())); err != nil {
			return
		}
		if err := s.connection.read(&received); err != nil {
			return
		}
		switch received.Type {
		case framePing:
			if err := s.connection.pong(0); err != nil {
				return
			}
		case frameOpen:
			s.start(ctx, received)
		default:
			return // a peer that breaks the protocol
		}
	}
}

// readTimeout returns how long to wait for the next frame. The opener pings while a
// stream runs.
func (s *streamServer) readTimeout() time.Duration {
	if s.current != nil && s.current.running() {
		return streamTimeout
	}
	return listenerIdleTimeout
}

// start runs the handler of a stream. The handler before has sent its end, or the
// peer would not open another stream.
func (s *streamServer) start(ctx context.Context, request envelope) {
	if s.current != nil {
		<-s.current.done
	}
	handlerCtx, cancel := requestContext(ctx, request)
	handling := &streamHandling{cancel: cancel, done: make(chan struct{})}
	s.current = handling
	go func() {
		defer close(handling.done)
		defer cancel()
		if err := s.run(handlerCtx, request); err != nil {
			s.connection.raw.Close()
		}
	}()
}

// stop cancels the handler and waits for it. The connection is closed first, since
// the handler may be blocked in writing to it.
func (s *streamServer) stop() {
	if s.current == nil {
		return
	}
	s.current.cancel()
	s.connection.raw.Close()
	<-s.current.done
}

// run runs the handler and sends the stream's end. It returns the error of the
// connection; the handler's goes to the peer.
func (s *streamServer) run(ctx context.Context, request envelope) error {
	failure := fmt.Errorf("no stream handler for kind %d", request.Kind)
	if handler, found := s.node.streamHandlers[request.Kind]; found {
		send := func(message any) error { return s.send(ctx, request.Kind, message) }
		failure = handler(ctx, s.connection.peer, decoder(request.Body), send)
	}
	last := envelope{Type: frameEnd, Kind: request.Kind}
	if failure != nil {
		last.Type = frameFailure
		last.Error = truncatedMessage(failure)
	}
	frame, err := encodeFrame(last, s.node.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	return s.connection.write(request.Kind, frame, streamTimeout)
}

// send writes one message of the stream. It waits for a slow reader without a time
// limit: the reader's pings show that it is alive.
func (s *streamServer) send(ctx context.Context, kind Kind, message any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	frame, err := encodeMessage(envelope{Type: frameItem, Kind: kind}, message, s.node.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	return s.connection.write(kind, frame, 0)
}
