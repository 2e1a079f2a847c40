package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessResponseBytes is after how many bytes an endlessConn ends its response, so that a
// test without a limit ends too.
const endlessResponseBytes = 64 << 20

// endlessConn is a connection to a replica that sends a prefix and then repeats a part of a
// response. It accepts everything that is written to it.
type endlessConn struct {
	net.Conn // nil; the pool calls no other method

	prefix   string
	part     string
	received int // bytes that the pool has read
}

func (c *endlessConn) Read(buffer []byte) (int, error) {
	if c.received >= endlessResponseBytes {
		return 0, io.EOF
	}
	for i := range buffer {
		position := c.received + i
		if position < len(c.prefix) {
			buffer[i] = c.prefix[position]
			continue
		}
		buffer[i] = c.part[(position-len(c.prefix))%len(c.part)]
	}
	c.received += len(buffer)
	return len(buffer), nil
}

func (c *endlessConn) Write(data []byte) (int, error) { return len(data), nil }

func (c *endlessConn) Close() error { return nil }

func (c *endlessConn) SetDeadline(time.Time) error { return nil }

// poolFor returns a pool whose connections are conn.
func poolFor(conn net.Conn) *Pool {
	return NewPool(Config{Dial: func(context.Context, string) (net.Conn, error) { return conn, nil }})
}

// TestEndlessResponseHeaderFailsTheRequest guards against a replica that fills the memory of
// the process with a response header without an end (review/2).
func TestEndlessResponseHeaderFailsTheRequest(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct{ prefix, part string }{
		"no status line":        {"", "x"},
		"protocol version":      {"HTTP/1.", "1"},
		"reason phrase":         {"HTTP/1.1 200 OK", "K"},
		"name of a field":       {statusLine, "x"},
		"value of a field":      {statusLine + "X-Load: ", "1"},
		"continued value":       {statusLine + "X-Load: 1\r\n", " 1\r\n"},
		"fields":                {statusLine, "X-Load: 1\r\n"},
		"short fields":          {statusLine, "a:\n"},
		"carriage returns":      {statusLine + "X-Load: 1", "\r"},
		"null bytes":            {"", "\x00"},
		"informational":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":           {"", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		"field after a hint":    {"HTTP/1.1 103 Early Hints\r\n\r\n" + statusLine + "X-Load: ", "1"},
		"informational, header": {"HTTP/1.1 100 Continue\r\n", "X-Load: 1\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := &endlessConn{prefix: test.prefix, part: test.part}
			err := doAndClose(t.Context(), poolFor(conn), "replica", newRequest(t, http.MethodPost))
			if most := DefaultMaxResponseHeaderBytes + readBufferBytes; conn.received > most {
				t.Errorf("read %d bytes of the response, want at most %d", conn.received, most)
			}
			var requestErr *RequestError
			var tooLarge *HeaderTooLargeError
			if !errors.As(err, &requestErr) || !requestErr.Sent || !errors.As(err, &tooLarge) {
				t.Errorf("got %v, want a HeaderTooLargeError of a sent request", err)
			}
		})
	}
}

// TestEndlessPartOfBodyFailsReading guards against a body whose framing has no end and is
// kept in memory by the reader of the body.
func TestEndlessPartOfBodyFailsReading(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct{ prefix, part string }{
		"chunk size":          {chunked, "0"},
		"chunk extension":     {chunked + "1;", "x"},
		"end of a chunk":      {chunked + "1\r\n1", "x"},
		"trailer line":        {chunked + "0\r\nX-Load: ", "1"},
		"trailer lines":       {chunked + "0\r\n", "X-Load: 1\r\n"},
		"chunks of one byte":  {chunked, "1;" + strings.Repeat("x", 100) + "\r\n1\r\n"},
		"chunk size in zeros": {chunked + "1\r\n1\r\n", "0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := &endlessConn{prefix: test.prefix, part: test.part}
			response, err := poolFor(conn).Do(t.Context(), "replica", newRequest(t, http.MethodPost), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if _, err := io.Copy(io.Discard, response.Body); err == nil {
				t.Error("the body was read to its end")
			}
			if conn.received > DefaultMaxResponseHeaderBytes {
				t.Errorf("read %d bytes of the response, want at most %d", conn.received, DefaultMaxResponseHeaderBytes)
			}
		})
	}
}

// TestLargeResponseHeaderIsRead checks that a header below the limit is read, whatever
// follows it, and that the limit holds for each response of a connection by itself.
func TestLargeResponseHeaderIsRead(t *testing.T) {
	large := "X-Large: " + strings.Repeat("x", DefaultMaxResponseHeaderBytes-readBufferBytes) + "\r\n"
	body := strings.Repeat("\n", 2*DefaultMaxResponseHeaderBytes)
	address, connections := listen(t, respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 131072\r\n"+large+"\r\n"+body))
	pool := NewPool(Config{})
	for range 3 {
		text, err := fetch(t, pool, address)
		if err != nil || text != body {
			t.Fatalf("got %d bytes, %v; want %d", len(text), err, len(body))
		}
	}
	if got := connections.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}
