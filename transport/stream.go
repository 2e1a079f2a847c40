package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Timing of streams. The opener sends pings while a stream runs, so that each side
// detects an unresponsive peer even if messages are rare.
const (
	streamPingInterval = 500 * time.Millisecond
	streamTimeout      = 2 * time.Second // without a frame from the peer, or for writing one chunk
)

// OpenStream implements Network. The stream ends with an error when ctx ends.
func (n *Node) OpenStream(ctx context.Context, address string, kind Kind, request any) (Stream, error) {
	if n.shouldDrop(address, kind) {
		n.counters.dropped(kind)
		<-ctx.Done()
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, ctx.Err())
	}
	frame, err := encodeMessage(envelope{Type: frameOpen, Kind: kind, TimeoutMS: remainingMillis(ctx)}, request, n.config.MaxFrameBytes)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	connection, err := n.streamConnection(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := connection.write(kind, frame, streamTimeout); err != nil {
		n.release(connection.raw)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	stream := &openedStream{node: n, address: address, connection: connection, ctx: ctx, finished: make(chan struct{})}
	stream.detachContext = context.AfterFunc(ctx, func() { connection.raw.Close() })
	if !n.spawn(stream.pingLoop) {
		// The request was written, so this must not be reported as ErrNotSent. Closing
		// the connection makes Next return ErrConnectionLost.
		connection.raw.Close()
	}
	return stream, nil
}

// openedStream is the opener's side of a stream. Only one goroutine may call Next; Close
// may be called from another.
type openedStream struct {
	node       *Node
	address    string
	connection *conn
	// ctx is used only by fail, to report why the connection was lost.
	ctx           context.Context //nolint:containedctx // a stream lives as long as the context it was opened with, as an http.Request does
	detachContext func() bool     // cancels the closing of the connection at the end of ctx
	finished      chan struct{}
	once          sync.Once
	result        error // returned by every Next once the stream has ended
}

// pingLoop sends pings until the stream has finished or the node closes.
func (s *openedStream) pingLoop() {
	ticker := time.NewTicker(streamPingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := s.connection.write(0, pingFrame, streamTimeout); err != nil {
				s.connection.raw.Close()
				return
			}
		case <-s.finished:
			return
		case <-s.node.closing:
			return
		}
	}
}

// Next implements Stream.
func (s *openedStream) Next(into any) error {
	if s.result != nil {
		return s.result
	}
	for {
		received, err := s.receive()
		if err != nil {
			return s.fail(err)
		}
		switch received.Type {
		case framePong:
		case frameItem:
			if err := decodeBody(received.Body, into); err != nil {
				return s.fail(err)
			}
			return nil
		case frameEnd:
			return s.end(io.EOF)
		case frameFailure:
			return s.end(&RemoteError{Kind: received.Kind, Message: received.Error})
		default:
			return s.fail(fmt.Errorf("unexpected frame of type %d", received.Type))
		}
	}
}

func (s *openedStream) receive() (received envelope, err error) {
	if err := s.connection.raw.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return envelope{}, err
	}
	err = s.connection.read(&received)
	return received, err
}

// fail ends a stream whose connection was lost, and returns the error. It replaces a
// cause of io.EOF, which a caller would mistake for a clean end.
func (s *openedStream) fail(cause error) error {
	if ended := s.ctx.Err(); ended != nil {
		cause = ended
	} else if errors.Is(cause, io.EOF) {
		cause = errPeerClosed
	}
	s.result = fmt.Errorf("%w: stream from %s: %w", ErrConnectionLost, s.address, cause)
	s.finish(false)
	return s.result
}

// end records that the peer has ended the stream, and returns the result.
func (s *openedStream) end(result error) error {
	s.result = result
	s.finish(true)
	return result
}

// finish returns the connection to the pool after a clean end, and otherwise closes it.
func (s *openedStream) finish(clean bool) {
	s.once.Do(func() {
		close(s.finished)
		stillOpen := s.detachContext()
		clean = clean && stillOpen && s.connection.raw.SetDeadline(time.Time{}) == nil
		if !clean || !s.node.streams.put(s.address, s.connection) {
			s.node.release(s.connection.raw)
		}
	})
}

// Close implements Stream.
func (s *openedStream) Close() error {
	s.finish(false)
	return nil
}
