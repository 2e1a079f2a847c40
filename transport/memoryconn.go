package transport

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// pipeChunks is the number of written chunks that one direction of a pipe buffers.
const pipeChunks = 64

// halfPipe is one direction of a pipe. Either end may close it.
type halfPipe struct {
	chunks chan []byte
	closed chan struct{}
	once   sync.Once
}

func newHalfPipe() *halfPipe {
	return &halfPipe{chunks: make(chan []byte, pipeChunks), closed: make(chan struct{})}
}

func (p *halfPipe) close() { p.once.Do(func() { close(p.closed) }) }

// pipe returns the two ends of a buffered pipe. The local end sends along forward,
// the remote end along reverse.
func (m *Memory) pipe(forward, reverse path) (local, remote *memoryConn) {
	outward, inward := newHalfPipe(), newHalfPipe()
	local = &memoryConn{memory: m, path: forward, in: inward, out: outward, blackhole: make(chan []byte, pipeChunks)}
	remote = &memoryConn{memory: m, path: reverse, in: outward, out: inward, blackhole: make(chan []byte, pipeChunks)}
	return local, remote
}

// memoryConn is one end of a buffered pipe. Data written during a partition, and all data
// written after it, goes to a buffer that is never read, because a connection cannot
// continue once some of its bytes are missing. A deadline applies only to reads and
// writes that begin after it was set.
type memoryConn struct {
	memory    *Memory
	path      path // direction of the writes
	in        *halfPipe
	out       *halfPipe
	broken    atomic.Bool // some written data was lost
	blackhole chan []byte
	unread    []byte // rest of the last received chunk

	readDeadline  atomic.Pointer[time.Time]
	writeDeadline atomic.Pointer[time.Time]
}

var _ net.Conn = (*memoryConn)(nil)

func (c *memoryConn) Read(into []byte) (int, error) {
	if len(c.unread) == 0 {
		chunk, err := c.receive()
		if err != nil {
			return 0, err
		}
		c.unread = chunk
	}
	n := copy(into, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *memoryConn) receive() ([]byte, error) {
	expired, stop := deadlineChannel(&c.readDeadline)
	defer stop()
	select {
	case chunk := <-c.in.chunks:
		return chunk, nil
	default:
	}
	select {
	case chunk := <-c.in.chunks:
		return chunk, nil
	case <-c.in.closed:
		return nil, io.EOF
	case <-expired:
		return nil, os.ErrDeadlineExceeded
	}
}

func (c *memoryConn) Write(content []byte) (int, error) {
	if c.broken.Load() || c.memory.isPartitioned(c.path) {
		c.broken.Store(true)
	}
	target := c.out.chunks
	if c.broken.Load() {
		target = c.blackhole
	}
	expired, stop := deadlineChannel(&c.writeDeadline)
	defer stop()
	select {
	case <-c.out.closed:
		return 0, io.ErrClosedPipe
	default:
	}
	select {
	case target <- append([]byte(nil), content...):
		return len(content), nil
	case <-c.out.closed:
		return 0, io.ErrClosedPipe
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// deadlineChannel returns a channel that receives a value once the deadline has passed,
// and a function that releases its timer. Without a deadline the channel is nil.
func deadlineChannel(deadline *atomic.Pointer[time.Time]) (<-chan time.Time, func()) {
	at := deadline.Load()
	if at == nil || at.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(*at))
	return timer.C, func() { timer.Stop() }
}

func (c *memoryConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return memoryAddress(c.path.from) }
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddress(c.path.to) }

func (c *memoryConn) SetDeadline(at time.Time) error {
	c.readDeadline.Store(&at)
	c.writeDeadline.Store(&at)
	return nil
}

func (c *memoryConn) SetReadDeadline(at time.Time) error {
	c.readDeadline.Store(&at)
	return nil
}

func (c *memoryConn) SetWriteDeadline(at time.Time) error {
	c.writeDeadline.Store(&at)
	return nil
}
