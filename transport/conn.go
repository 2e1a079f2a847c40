package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

const readBufferBytes = 4 << 10

// conn is one connection after its handshake. One goroutine reads; any may write.
type conn struct {
	raw      net.Conn
	peer     string
	reader   *bufio.Reader
	buffer   []byte
	counters *counters
	maxFrame int

	// writing holds a token while a frame is being written.
	writing chan struct{}
	// heard and progress are when bytes last came and last left, in nanoseconds
	// since the node's epoch.
	heard    atomic.Int64
	progress atomic.Int64
	epoch    time.Time
}

func newConn(raw net.Conn, peer string, node *Node) *conn {
	c := &conn{raw: raw, peer: peer, counters: &node.counters, maxFrame: node.config.MaxFrameBytes, epoch: node.epoch}
	c.writing = make(chan struct{}, 1)
	c.reader = bufio.NewReaderSize(hearing{c}, readBufferBytes)
	c.heard.Store(c.now())
	return c
}

func (c *conn) now() int64 { return int64(time.Since(c.epoch)) }

// hearing notes every arrival of bytes.
type hearing struct{ *conn }

func (h hearing) Read(into []byte) (int, error) {
	n, err := h.raw.Read(into)
	if n > 0 {
		h.heard.Store(h.now())
	}
	return n, err
}

// read fills the envelope with the next frame.
func (c *conn) read(into *envelope) error {
	content, err := readFrame(c.reader, c.maxFrame, c.buffer)
	if err != nil {
		return err
	}
	if cap(content) <= reusableBuffer {
		c.buffer = content[:0]
	}
	if err := decodeEnvelope(content, into); err != nil {
		return err
	}
	c.counters.received(into.Kind, lengthBytes+len(content))
	return nil
}

// write sends a whole frame. stall bounds each chunk's time, 0 is unbounded.
func (c *conn) write(kind Kind, frame []byte, stall time.Duration) error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.writeLocked(kind, frame, stall)
}

func (c *conn) writeLocked(kind Kind, frame []byte, stall time.Duration) error {
	c.counters.sent(kind, len(frame))
	for len(frame) > 0 {
		chunk := frame[:min(len(frame), writeChunkBytes)]
		if err := c.raw.SetWriteDeadline(deadlineAfter(stall)); err != nil {
			return err
		}
		if _, err := c.raw.Write(chunk); err != nil {
			return err
		}
		frame = frame[len(chunk):]
		if len(frame) > 0 {
			c.progress.Store(c.now())
		}
	}
	return nil
}

func deadlineAfter(bound time.Duration) time.Time {
	if bound == 0 {
		return time.Time{}
	}
	return time.Now().Add(bound)
}

var (
	pingFrame = mustFrame(envelope{Type: framePing})
	pongFrame = mustFrame(envelope{Type: framePong})
)

func mustFrame(content envelope) []byte {
	frame, err := encodeFrame(content, handshakeFrame)
	if err != nil {
		panic(err)
	}
	return frame
}

// pong answers a ping. When another frame is being written, that one shows life
// as well and the pong is left out.
func (c *conn) pong(stall time.Duration) error {
	select {
	case c.writing <- struct{}{}:
	default:
		return nil
	}
	defer func() { <-c.writing }()
	return c.writeLocked(0, pongFrame, stall)
}
