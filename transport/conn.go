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
	// maxReusedBufferBytes bounds the read buffer that a connection reuses for the
	// next frame, so that a rare large frame does not occupy memory permanently.
	maxReusedBufferBytes = 64 << 10
)

// conn is one connection after its handshake. Only one goroutine may read; any number
// may write.
type conn struct {
	raw      net.Conn
	peer     string // the peer's name as authenticated by the handshake
	reader   *bufio.Reader
	buffer   []byte // reused for the content of the next frame
	counters *counters
	maxFrame int

	// writeToken holds a token while a frame is being written. It is a channel, not a
	// mutex, because pong must not block on it.
	writeToken chan struct{}
	// lastReceived is the time when bytes last arrived. lastChunkWritten is the time
	// when a chunk of a frame, other than the frame's last, was last written. Both are
	// nanoseconds since the epoch.
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

// now returns the current time in nanoseconds since the epoch.
func (c *conn) now() int64 { return int64(time.Since(c.epoch)) }

// receiveTracker is the reader of a connection's raw bytes. It updates lastReceived.
type receiveTracker struct{ *conn }

func (t receiveTracker) Read(into []byte) (int, error) {
	n, err := t.raw.Read(into)
	if n > 0 {
		t.lastReceived.Store(t.now())
	}
	return n, err
}

// read decodes the next frame into the envelope.
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

// write sends a complete frame. timeout bounds the time of each chunk; 0 means no
// limit.
func (c *conn) write(kind Kind, frame []byte, timeout time.Duration) error {
	c.writeToken <- struct{}{}
	defer func() { <-c.writeToken }()
	return c.writeLocked(kind, frame, timeout)
}

// writeLocked sends a complete frame as write does. The caller must hold the write
// token.
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

// deadlineAfter returns the time when the timeout expires. For a timeout of 0 it
// returns the zero time, which means no deadline.
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

// writePong answers a ping. It does nothing while another frame is being written, since
// that frame also shows the peer that this node is alive.
func (c *conn) writePong(timeout time.Duration) error {
	select {
	case c.writeToken <- struct{}{}:
	default:
		return nil
	}
	defer func() { <-c.writeToken }()
	return c.writeLocked(0, pongFrame, timeout)
}
