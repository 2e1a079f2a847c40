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
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxInlineBytes is the size of the largest request that is written completely
	// before its response is read. A larger request is written while the response is
	// read, since a replica may respond before it has read the whole request.
	maxInlineBytes = 32 << 10
	// announcedTimeoutFraction is the fraction of the idle timeout announced by a
	// replica after which an idle connection is no longer reused. The margin avoids
	// that the replica closes the connection while a request is on its way.
	announcedTimeoutFraction = 0.6
)

// connection is a TCP connection that carries at most one request at a time.
type connection struct {
	pool         *Pool
	address      string
	raw          net.Conn
	receiver     *receiver
	reader       *bufio.Reader // buffers what receiver reads
	idleDeadline time.Time     // end of the time for which an idle connection may be reused

	// The fields below belong to the current request.

	finished    sync.Once     // makes sure that release or discard runs once
	stopContext func() bool   // stops watching the request's context; false if it has ended
	written     chan struct{} // closed when the request was written or writing it failed
	writeErr    error         // set before written is closed
}

func newConnection(pool *Pool, address string, raw net.Conn) *connection {
	c := &connection{pool: pool, address: address, raw: raw}
	c.receiver = &receiver{conn: c}
	c.reader = bufio.NewReaderSize(c.receiver, readBufferBytes)
	return c
}

// roundTrip writes a request and reads the header of its response. When the body of the
// response has been read to its end, the connection is released if it is reusable. It is
// discarded if reading fails or the body is closed before its end.
func (c *connection) roundTrip(ctx context.Context, request *http.Request, body []byte) (*http.Response, error) {
	c.finished = sync.Once{}
	c.stopContext = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	if err := c.write(request, body); err != nil {
		return nil, withContextError(ctx, err)
	}
	response, err := c.readHeader(request)
	if err != nil {
		return nil, withContextError(ctx, err)
	}
	idleTimeout, reusable := reusePolicy(response, c.pool.config.IdleTimeout)
	response.Body = &responseBody{conn: c, ctx: ctx, inner: response.Body, idleTimeout: idleTimeout, reusable: reusable}
	return response, nil
}

// withContextError joins err with the context's error if the context has ended. The end
// of the context closes the connection, which is then the cause of err.
func withContextError(ctx context.Context, err error) error {
	if contextErr := ctx.Err(); contextErr != nil {
		return errors.Join(contextErr, err)
	}
	return err
}

// write sends the request. A request of more than maxInlineBytes is written by another
// goroutine after write has returned. That goroutine closes written when it ends, at the
// latest when the connection is closed.
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
	if message.Len() <= maxInlineBytes {
		return send()
	}
	go func() { _ = send() }()
	return nil
}

// readHeader reads the header of the final response and skips informational (1xx)
// responses. All these headers together are limited to Config.MaxResponseHeaderBytes.
func (c *connection) readHeader(request *http.Request) (*http.Response, error) {
	c.receiver.beginHeader()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, c.receiver.endHeader(err)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, c.receiver.endHeader(nil)
		}
	}
}

// requestWritten reports whether the whole request has been written without an error.
func (c *connection) requestWritten() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// release ends the request. It returns the connection to the pool as idle if the
// request's context has not ended, the whole request was written and no bytes follow the
// response. Otherwise it closes the connection.
func (c *connection) release(idleTimeout time.Duration) {
	c.finished.Do(func() {
		if c.stopContext() && c.requestWritten() && c.reader.Buffered() == 0 {
			c.pool.putIdle(c, idleTimeout)
			return
		}
		c.pool.close(c)
	})
}

// discard ends the request and closes the connection.
func (c *connection) discard() {
	c.finished.Do(func() {
		c.stopContext()
		c.pool.close(c)
	})
}

// reusePolicy reports whether a connection may be reused after a response, and for how long
// it may be idle until then.
func reusePolicy(response *http.Response, defaultTimeout time.Duration) (idleTimeout time.Duration, reusable bool) {
	if response.Close || response.StatusCode == http.StatusSwitchingProtocols {
		return 0, false
	}
	announced, found := announcedTimeout(response.Header.Get("Keep-Alive"))
	if !found {
		return defaultTimeout, true
	}
	idleTimeout = time.Duration(announcedTimeoutFraction * float64(announced))
	return idleTimeout, idleTimeout > 0
}

// announcedTimeout returns the value of the timeout parameter of a Keep-Alive header, and
// whether the header has a valid one.
func announcedTimeout(header string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
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

// responseBody is the body of a response. It returns the connection to the pool when it
// has been read to its end.
type responseBody struct {
	conn        *connection
	ctx         context.Context //nolint:containedctx // the request's context, which io.Reader cannot pass to Read
	inner       io.ReadCloser
	idleTimeout time.Duration
	reusable    bool
}

// Read implements io.Reader. At the end of the body it releases the connection if that
// is reusable. Any other error closes the connection.
func (b *responseBody) Read(buffer []byte) (int, error) {
	count, err := b.inner.Read(buffer)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && b.reusable:
		b.conn.release(b.idleTimeout)
	case errors.Is(err, io.EOF):
		b.conn.discard()
	default:
		err = withContextError(b.ctx, err)
		b.conn.discard()
	}
	return count, err
}

// Close implements io.Closer. It closes the connection if the body was not read to its
// end.
func (b *responseBody) Close() error {
	b.conn.discard()
	return nil
}
