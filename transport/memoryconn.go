package transport

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// pipeChunks is how many written chunks one direction of a pipe buffers.
const pipeChunks = 64

// halfPipe is one direction of a pipe.
type halfPipe struct {
	chunks chan []byte
	closed chan struct{} // by either end
	once   sync.Once
}

func newHalfPipe() *halfPipe {
	return &halfPipe{chunks: make(chan []byte, pipeChunks), closed: make(chan struct{})}
}

func (p *halfPipe) close() { p.once.Do(func() { close(p.closed) }) }

// memoryConn is one end of a buffered pipe. What is written during a cut, and
// everything after that, fills a buffer that nobody reads, as a connection with a
// hole cannot go on. Its deadlines hold for reads and writes that begin after
// they were set.
type memoryConn struct {
	memory *Memory
	path   direction
	in     *halfPipe
	out    *halfPipe
	holed  atomic.Bool
	hole   chan []byte
	rest   []byte // read from the pipe and not yet taken

	readDeadline  atomic.Pointer[time.Time]
	writeDeadline atomic.Pointer[time.Time]
}

var _ net.Conn = (*memoryConn)(nil)

func (c *memoryConn) Read(into []byte) (int, error) {
	if len(c.rest) == 0 {
		chunk, err := c.receive()
		if err != nil {
			return 0, err
		}
		c.rest = chunk
	}
	n := copy(into, c.rest)
	c.rest = c.rest[n:]
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
	if c.holed.Load() || c.memory.isCut(c.path) {
		c.holed.Store(true)
	}
	target := c.out.chunks
	if c.holed.Load() {
		target = c.hole
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

// deadlineChannel is ready once the deadline has passed; never without one.
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
