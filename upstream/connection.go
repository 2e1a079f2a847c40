package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 4 << 10
	// inlineBody is the largest request in bytes that is written before the
	// answer is awaited. The rest of a longer one is written beside it, since a
	// replica may answer first and read on.
	inlineBody = 32 << 10
)

// connection is one TCP connection with at most one request under way.
type connection struct {
	pool        *Pool
	address     string
	raw         net.Conn
	reader      *bufio.Reader
	usableUntil time.Time // while idle

	finished sync.Once
	stop     func() bool   // ends the watch of the request's context
	written  chan struct{} // closed when the request was written
	writeErr error         // set before written is closed
}

func newConnection(pool *Pool, address string, raw net.Conn) *connection {
	c := &connection{pool: pool, address: address, raw: raw}
	c.reader = bufio.NewReaderSize(noting{c}, readBuffer)
	return c
}

// noting notes when bytes came.
type noting struct{ conn *connection }

func (n noting) Read(into []byte) (int, error) {
	count, err := n.conn.raw.Read(into)
	if count > 0 {
		n.conn.pool.note(n.conn.address)
	}
	return count, err
}

// exchange writes a request and reads the head of its answer.
func (c *connection) exchange(ctx context.Context, request *http.Request, body []byte) (*http.Response, error) {
	c.finished = sync.Once{}
	c.stop = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	if err := c.write(request, body); err != nil {
		return nil, c.explain(ctx, err)
	}
	response, err := c.readHead(request)
	if err != nil {
		return nil, c.explain(ctx, err)
	}
	limit, keep := reuse(response, c.pool.config.IdleTimeout)
	response.Body = &answerBody{conn: c, ctx: ctx, inner: response.Body, limit: limit, keep: keep}
	return response, nil
}

// explain names the end of the context where that was the cause.
func (c *connection) explain(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// write sends the request, a long one beside the reading of the answer.
func (c *connection) write(request *http.Request, body []byte) error {
	var message bytes.Buffer
	outgoing := request.Clone(request.Context())
	outgoing.ContentLength = int64(len(body))
	outgoing.Body = http.NoBody
	if len(body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(body))
	}
	if err := outgoing.Write(&message); err != nil {
		return err
	}
	c.written = make(chan struct{})
	send := func() error {
		_, c.writeErr = c.raw.Write(message.Bytes())
		close(c.written)
		return c.writeErr
	}
	if message.Len() <= inlineBody {
		return send()
	}
	go func() { _ = send() }()
	return nil
}

// readHead reads the head of the final answer.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// writtenWhole says that the whole request has been written.
func (c *connection) writtenWhole() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// release ends the request and keeps the connection if nothing is left on it.
func (c *connection) release(limit time.Duration) {
	c.finished.Do(func() {
		if c.stop() && c.writtenWhole() && c.reader.Buffered() == 0 {
			c.pool.keep(c, limit)
			return
		}
		c.pool.close(c)
	})
}

// discard ends the request and the connection.
func (c *connection) discard() {
	c.finished.Do(func() {
		c.stop()
		c.pool.close(c)
	})
}

// reuse returns how long a connection may be idle after an answer, and whether
// it may be used again at all.
func reuse(response *http.Response, usual time.Duration) (time.Duration, bool) {
	if response.Close || response.StatusCode == http.StatusSwitchingProtocols {
		return 0, false
	}
	announced, found := announcedIdle(response.Header.Get("Keep-Alive"))
	if !found {
		return usual, true
	}
	limit := time.Duration(idlePart * float64(announced))
	return limit, limit > 0
}

// announcedIdle reads the time-out of a Keep-Alive header.
func announcedIdle(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// answerBody gives the connection back at the end of the answer.
type answerBody struct {
	conn  *connection
	ctx   context.Context //nolint:containedctx // of the request: Read of an io.Reader takes none
	inner io.ReadCloser
	limit time.Duration
	keep  bool
}

func (b *answerBody) Read(into []byte) (int, error) {
	count, err := b.inner.Read(into)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && b.keep:
		b.conn.release(b.limit)
	case errors.Is(err, io.EOF):
		b.conn.discard()
	default:
		err = b.conn.explain(b.ctx, err)
		b.conn.discard()
	}
	return count, err
}

// Close breaks an answer off that was not read to its end.
func (b *answerBody) Close() error {
	b.conn.discard()
	return nil
}
