package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// maxInlineBytes is the size of the largest request that is written completely before its
// response is read. A larger request is written while the response is read, since a replica
// may respond before it has read the whole request.
const maxInlineBytes = 32 << 10

// exchange is one request and its response on a connection. It owns the connection until
// it has ended, and never touches it afterwards: by then another exchange may own it. So a
// late Read or Close of the response's body has no effect on a later request.
type exchange struct {
	conn *connection
	ctx  context.Context //nolint:containedctx // the request's context, which io.Reader cannot pass to Read
	// ended is true once release or discard was called.
	ended atomic.Bool
	// stopContext stops closing the connection at the end of ctx. It returns false if
	// that was begun.
	stopContext func() bool
	// written is closed when the request was written or writing it failed, after writeErr
	// was set.
	written  chan struct{}
	writeErr error
}

// newExchange begins an exchange on a connection that no other exchange owns. The end of
// ctx closes the connection while the exchange owns it.
func newExchange(ctx context.Context, conn *connection) *exchange {
	e := &exchange{conn: conn, ctx: ctx, written: make(chan struct{})}
	e.stopContext = context.AfterFunc(ctx, func() { _ = conn.raw.Close() })
	return e
}

// roundTrip writes a request and reads the header of its response. When the body of the
// response has been read to its end, the connection is released if it is reusable. It is
// discarded if writing or reading fails or the body is closed before its end.
func (e *exchange) roundTrip(request *http.Request, body []byte) (*http.Response, error) {
	response, err := e.exchangeHeaders(request, body)
	if err != nil {
		err = e.withContextError(err)
		e.discard()
		return nil, err
	}
	idleTimeout, reusable := reusePolicy(response, e.conn.pool.config.IdleTimeout)
	response.Body = &responseBody{exchange: e, inner: response.Body, idleTimeout: idleTimeout, reusable: reusable}
	return response, nil
}

// exchangeHeaders writes a request and reads the header of its response.
func (e *exchange) exchangeHeaders(request *http.Request, body []byte) (*http.Response, error) {
	if err := e.write(request, body); err != nil {
		return nil, err
	}
	return e.conn.readHeader(request)
}

// withContextError joins err with the context's error if the context has ended. The end
// of the context closes the connection, which is then the cause of err.
func (e *exchange) withContextError(err error) error {
	if contextErr := e.ctx.Err(); contextErr != nil {
		return errors.Join(contextErr, err)
	}
	return err
}

// write sends the request. A request of more than maxInlineBytes is written by another
// goroutine after write has returned. That goroutine closes written when it ends, at the
// latest when the connection is closed.
func (e *exchange) write(request *http.Request, body []byte) error {
	var message bytes.Buffer
	if err := writeMessage(&message, request, body); err != nil {
		return err
	}
	if message.Len() <= maxInlineBytes {
		return e.send(message.Bytes())
	}
	go func() { _ = e.send(message.Bytes()) }()
	return nil
}

// send writes a message and records the result.
func (e *exchange) send(message []byte) error {
	_, e.writeErr = e.conn.raw.Write(message)
	close(e.written)
	return e.writeErr
}

// requestWritten reports whether the whole request has been written without an error.
func (e *exchange) requestWritten() bool {
	select {
	case <-e.written:
		return e.writeErr == nil
	default:
		return false
	}
}

// release ends the exchange. It returns the connection to the pool as idle if the request's
// context has not ended, the whole request was written and no bytes follow the response.
// Otherwise it closes the connection.
func (e *exchange) release(idleTimeout time.Duration) {
	if e.ended.Swap(true) {
		return
	}
	if e.stopContext() && e.requestWritten() && e.conn.reader.Buffered() == 0 {
		e.conn.pool.putIdle(e.conn, idleTimeout)
		return
	}
	e.conn.pool.close(e.conn)
}

// discard ends the exchange and closes the connection.
func (e *exchange) discard() {
	if e.ended.Swap(true) {
		return
	}
	e.stopContext()
	e.conn.pool.close(e.conn)
}

// errBodyClosed is returned by a Read of a body that was closed.
var errBodyClosed = errors.New("upstream: read of a closed response body")

// responseBody is the body of a response. It ends the exchange when it has been read to its
// end, reading fails or it is closed. Only one goroutine may call Read; Close may be called
// at any time and more than once.
type responseBody struct {
	exchange    *exchange
	inner       io.ReadCloser
	idleTimeout time.Duration
	reusable    bool
	readErr     error // the error that ended reading; nil before
}

// Read implements io.Reader. At the end of the body it releases the connection if that
// is reusable. Any other error closes the connection.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if b.readErr != nil {
		return 0, b.readErr
	}
	if b.exchange.ended.Load() {
		return 0, errBodyClosed
	}
	count, err := b.inner.Read(buffer)
	switch {
	case err == nil:
		return count, nil
	case errors.Is(err, io.EOF) && b.reusable:
		b.exchange.release(b.idleTimeout)
	case errors.Is(err, io.EOF):
		b.exchange.discard()
	default:
		err = b.exchange.withContextError(err)
		b.exchange.discard()
	}
	b.readErr = err
	return count, err
}

// Close implements io.Closer. It closes the connection if the body was not read to its
// end.
func (b *responseBody) Close() error {
	b.exchange.discard()
	return nil
}
