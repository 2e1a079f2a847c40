package transport

import (
	"context"
	"fmt"
	"time"
)

// listenerIdleTimeout is how long an accepted connection may be without a running stream
// before it is closed.
const listenerIdleTimeout = 2 * time.Minute

// streamServer serves the streams of one accepted connection sequentially.
type streamServer struct {
	node       *Node
	connection *conn
	current    *handlerRun // nil before the first stream
}

// handlerRun is the execution of one stream's handler.
type handlerRun struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the handler has returned and the end of the stream was sent
}

func (h *handlerRun) running() bool {
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

// serve reads frames and runs the handlers. It returns when the connection has ended
// and the last handler has returned.
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
			if err := s.connection.writePong(0); err != nil {
				return
			}
		case frameOpen:
			s.start(ctx, received)
		default:
			return // protocol violation
		}
	}
}

// readTimeout returns how long to wait for the next frame. It is shorter while a
// stream runs, because the opener then sends pings.
func (s *streamServer) readTimeout() time.Duration {
	if s.current != nil && s.current.running() {
		return streamTimeout
	}
	return listenerIdleTimeout
}

// start runs the handler of a stream in a new goroutine. It first waits for
// the previous handler, which has already sent its end if the peer follows the protocol.
func (s *streamServer) start(ctx context.Context, request envelope) {
	if s.current != nil {
		<-s.current.done
	}
	handlerCtx, cancel := requestContext(ctx, request)
	run := &handlerRun{cancel: cancel, done: make(chan struct{})}
	s.current = run
	go func() {
		defer close(run.done)
		defer cancel()
		if err := s.run(handlerCtx, request); err != nil {
			s.connection.raw.Close()
		}
	}()
}

// stop cancels the handler and waits for it to return. It closes the connection before
// waiting, since the handler may be blocked in a write to it.
func (s *streamServer) stop() {
	if s.current == nil {
		return
	}
	s.current.cancel()
	s.connection.raw.Close()
	<-s.current.done
}

// run calls the handler and sends the end of the stream, with the handler's error if
// there is one. It returns an error only if the end cannot be sent.
func (s *streamServer) run(ctx context.Context, request envelope) error {
	failure := fmt.Errorf("no stream handler for kind %d", request.Kind)
	if handler, found := s.node.streamHandlers[request.Kind]; found {
		send := func(message any) error { return s.send(ctx, request.Kind, message) }
		failure = handler(ctx, s.connection.peer, bodyDecoder(request.Body), send)
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

// send writes one message of the stream. It waits for a slow reader without a timeout,
// since the reader's pings show that it is alive.
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
