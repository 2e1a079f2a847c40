package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes = 4 << 10
	writeChunkBytes = 64 << 10
	// maxReusedBufferBytes bounds the read buffer that a connection keeps from frame
	// to frame, so that a rare large frame does not hold memory.
	maxReusedBufferBytes = 64 << 10
)

// conn is one connection after its handshake. One goroutine reads; any may write.
type conn struct {
	raw      net.Conn
	peer     string // the peer's name as authenticated by the handshake
	reader   *bufio.Reader
	buffer   []byte // of the next frame's content
	counters *counters
	maxFrame int

	// writeToken holds a token while a frame is being written. It is a channel and
	// no mutex because pong gives up at once.
	writeToken chan struct{}
	// lastReceived is when bytes last arrived, lastChunkWritten when a chunk of a
	// frame was last written that has more to come: nanoseconds since the epoch.
	lastReceived     atomic.Int64
	lastChunkWritten atomic.Int64
	epoch            time.Time
}

func newConn(raw net.Conn, peer string, node *Node) *conn {
	c := &conn{raw: raw, peer: peer, counters: &node.counters, maxFrame: node.config.MaxFrameBytes, epoch: node.epoch}
	c.writeToken = make(chan struct{}, 1)
	c.reader = bufio.NewReaderSize(receiveTracker{c}, readBufferBytes)
	c.lastReceived.Store(c.now())
	return c
}

// now returns the connection's time in nanoseconds since the epoch.
func (c *conn) now() int64 { return int64(time.Since(c.epoch)) }

// receiveTracker reads from a connection and records when bytes arrived.
type receiveTracker struct{ *conn }

func (t receiveTracker) Read(into []byte) (int, error) {
	n, err := t.raw.Read(into)
	if n > 0 {
		t.lastReceived.Store(t.now())
	}
	return n, err
}

// read fills the envelope with the next frame.
func (c *conn) read(into *envelope) error {
	content, err := readFrame(c.reader, c.maxFrame, c.buffer)
	if err != nil {
		return err
	}
	if cap(content) <= maxReusedBufferBytes {
		c.buffer = content[:0]
	}
	if err := decodeEnvelope(content, into); err != nil {
		return err
	}
	c.counters.received(into.Kind, lengthBytes+len(content))
	return nil
}

// write sends a complete frame. timeout bounds the time of each chunk, 0 is
// unbounded.
func (c *conn) write(kind Kind, frame []byte, timeout time.Duration) error {
	c.writeToken <- struct{}{}
	defer func() { <-c.writeToken }()
	return c.writeLocked(kind, frame, timeout)
}

// writeLocked must be called with the write token.
func (c *conn) writeLocked(kind Kind, frame []byte, timeout time.Duration) error {
	c.counters.sent(kind, len(frame))
	for len(frame) > 0 {
		chunk := frame[:min(len(frame), writeChunkBytes)]
		if err := c.raw.SetWriteDeadline(deadlineAfter(timeout)); err != nil {
			return err
		}
		if _, err := c.raw.Write(chunk); err != nil {
			return err
		}
		frame = frame[len(chunk):]
		if len(frame) > 0 {
			c.lastChunkWritten.Store(c.now())
		}
	}
	return nil
}

// deadlineAfter returns the zero time, which is no deadline, for a timeout of 0.
func deadlineAfter(timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

var (
	pingFrame = mustFrame(envelope{Type: framePing})
	pongFrame = mustFrame(envelope{Type: framePong})
)

func mustFrame(content envelope) []byte {
	frame, err := encodeFrame(content, maxControlFrameBytes)
	if err != nil {
		panic(err)
	}
	return frame
}

// pong answers a ping. While another frame is being written it does nothing, as
// that frame is a sign of life too.
func (c *conn) pong(timeout time.Duration) error {
	select {
	case c.writeToken <- struct{}{}:
	default:
		return nil
	}
	defer func() { <-c.writeToken }()
	return c.writeLocked(0, pongFrame, timeout)
}
