package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Timing of streams. The opener pings all the while, so that each side notices
// a silent other, however slowly the messages come.
const (
	streamPing    = 500 * time.Millisecond
	streamSilence = 2 * time.Second
	streamIdle    = 30 * time.Second // how long the opener keeps an idle connection
	listenerIdle  = 2 * time.Minute  // and how long the listener does
	maxIdle       = 16               // idle connections kept per address
)

// idleStreams keeps connections whose last stream ended cleanly.
type idleStreams struct {
	mutex     sync.Mutex
	addresses map[string][]idleStream
}

type idleStream struct {
	connection *conn
	since      time.Time
}

func (s *idleStreams) take(address string) (idleStream, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := s.addresses[address]
	if len(list) == 0 {
		return idleStream{}, false
	}
	newest := list[len(list)-1]
	s.addresses[address] = list[:len(list)-1]
	return newest, true
}

func (s *idleStreams) put(address string, connection *conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.addresses == nil {
		s.addresses = make(map[string][]idleStream)
	}
	if len(s.addresses[address]) >= maxIdle {
		return false
	}
	s.addresses[address] = append(s.addresses[address], idleStream{connection: connection, since: time.Now()})
	return true
}

func (n *Node) streamConnection(ctx context.Context, address string) (*conn, error) {
	for {
		kept, found := n.idle.take(address)
		if !found {
			return n.connect(ctx, address, purposeStreams, n.config.DialTimeout)
		}
		if time.Since(kept.since) < streamIdle && n.fabric.reusable(kept.connection.raw) {
			return kept.connection, nil
		}
		n.release(kept.connection.raw)
	}
}

// OpenStream implements Network. The stream ends with an error when ctx ends.
func (n *Node) OpenStream(ctx context.Context, address string, kind Kind, request any) (Stream, error) {
	if n.lost(address, kind) {
		n.counters.dropped(kind)
		<-ctx.Done()
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, ctx.Err())
	}
	frame, err := encodeMessage(envelope{Type: frameOpen, Kind: kind, LeftMS: leftMillis(ctx)}, request, n.config.MaxFrameBytes)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	connection, err := n.streamConnection(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := connection.write(kind, frame, streamSilence); err != nil {
		n.release(connection.raw)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	stream := &openedStream{node: n, address: address, connection: connection, kind: kind, ctx: ctx, finished: make(chan struct{})}
	stream.stopWatch = context.AfterFunc(ctx, func() { connection.raw.Close() })
	if !n.spawn(stream.pingLoop) {
		connection.raw.Close() // the request is written: Next tells that the stream broke
	}
	return stream, nil
}

// openedStream is the opener's end. Next is for one goroutine; Close may be
// called from another.
type openedStream struct {
	node       *Node
	address    string
	connection *conn
	kind       Kind
	ctx        context.Context
	stopWatch  func() bool
	finished   chan struct{}
	once       sync.Once
	result     error // set once the stream is over
}

func (s *openedStream) pingLoop() {
	ticker := time.NewTicker(streamPing)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := s.connection.write(0, pingFrame, streamSilence); err != nil {
				s.connection.raw.Close()
				return
			}
		case <-s.finished:
			return
		case <-s.node.ctx.Done():
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
		var received envelope
		err := s.connection.raw.SetReadDeadline(time.Now().Add(streamSilence))
		if err == nil {
			err = s.connection.read(&received)
		}
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
			return s.end(&RemoteError{Kind: received.Kind, Message: received.Problem})
		default:
			return s.fail(fmt.Errorf("unexpected frame of type %d", received.Type))
		}
	}
}

// fail ends the stream with a broken connection.
func (s *openedStream) fail(cause error) error {
	if ended := s.ctx.Err(); ended != nil {
		cause = ended
	} else if errors.Is(cause, io.EOF) {
		cause = errPeerClosed // never to be taken for the clean end
	}
	s.result = fmt.Errorf("%w: stream from %s: %w", ErrConnectionLost, s.address, cause)
	s.finish(false)
	return s.result
}

// end ends the stream with the peer's own ending.
func (s *openedStream) end(result error) error {
	s.result = result
	s.finish(true)
	return result
}

func (s *openedStream) finish(clean bool) {
	s.once.Do(func() {
		close(s.finished)
		untouched := s.stopWatch()
		clean = clean && untouched && s.connection.raw.SetDeadline(time.Time{}) == nil
		if !clean || !s.node.idle.put(s.address, s.connection) {
			s.node.release(s.connection.raw)
		}
	})
}

// Close implements Stream.
func (s *openedStream) Close() error {
	s.finish(false)
	return nil
}

// serveStreams serves the streams of one connection, one after the other.
func (n *Node) serveStreams(connection *conn) {
	var running *servedStream
	defer func() {
		if running != nil {
			running.cancel()
			connection.raw.Close()
			<-running.done
		}
	}()
	var received envelope
	for {
		limit := listenerIdle
		if running != nil && !running.over() {
			limit = streamSilence
		}
		if err := connection.raw.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return
		}
		if err := connection.read(&received); err != nil {
			return
		}
		switch received.Type {
		case framePing:
			if err := connection.pong(0); err != nil {
				return
			}
		case frameOpen:
			if running != nil {
				<-running.done // its end has been sent, or the peer would not open the next
			}
			running = n.startStream(connection, received)
		default:
			return // a peer that breaks the protocol
		}
	}
}

// servedStream is one running handler.
type servedStream struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (s *servedStream) over() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (n *Node) startStream(connection *conn, request envelope) *servedStream {
	ctx, cancel := boundedContext(n.ctx, request.LeftMS)
	stream := &servedStream{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(stream.done)
		defer cancel()
		if err := n.runStream(ctx, connection, request); err != nil {
			connection.raw.Close()
		}
	}()
	return stream
}

// runStream runs the handler and sends its end. The error is the connection's.
func (n *Node) runStream(ctx context.Context, connection *conn, request envelope) error {
	failure := fmt.Errorf("no stream handler for kind %d", request.Kind)
	if handler, found := n.streamHandlers[request.Kind]; found {
		send := func(message any) error {
			if err := ctx.Err(); err != nil {
				return err
			}
			frame, err := encodeMessage(envelope{Type: frameItem, Kind: request.Kind}, message, n.config.MaxFrameBytes)
			if err != nil {
				return err
			}
			return connection.write(request.Kind, frame, 0)
		}
		failure = handler(ctx, connection.peer, decoder(request.Body), send)
	}
	last := envelope{Type: frameEnd, Kind: request.Kind}
	if failure != nil {
		last.Type = frameFailure
		last.Problem = boundedProblem(failure)
	}
	frame, err := encodeFrame(last, n.config.MaxFrameBytes)
	if err != nil {
		return err
	}
	return connection.write(request.Kind, frame, streamSilence)
}
