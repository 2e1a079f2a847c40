package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/sockets"
)

// connectionHandler serves one connection of a test server.
type connectionHandler func(conn net.Conn, reader *bufio.Reader)

// listen starts a server that passes each connection to serve and counts the connections.
func listen(t *testing.T, serve connectionHandler) (address string, connections *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	connections = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), connections
}

// doAndClose sends a request without a body and closes the response's body unread.
func doAndClose(ctx context.Context, pool *Pool, address string, request *http.Request) error {
	response, err := pool.Do(ctx, address, request, nil)
	if err == nil {
		response.Body.Close()
	}
	return err
}

// respondWith returns a handler that responds to each request with the text.
func respondWith(text string) connectionHandler {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

func newRequest(t *testing.T, method string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://service.test/path", nil)
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// fetch sends a request with a body and returns the complete body of the response.
func fetch(t *testing.T, pool *Pool, address string) (string, error) {
	t.Helper()
	response, err := pool.Do(t.Context(), address, newRequest(t, http.MethodPost), []byte("body"))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestConnectionsAreReused checks that a connection is reused unless the replica closes it,
// announces that it will, or sends bytes after the response.
func TestConnectionsAreReused(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	tests := map[string]struct {
		response string
		want     int32 // connections for three requests
	}{
		"reused":                    {header + "\r\nok", 1},
		"announced timeout":         {header + "Keep-Alive: timeout=5\r\n\r\nok", 1},
		"announced timeout of zero": {header + "Keep-Alive: timeout=0\r\n\r\nok", 3},
		"Connection: close":         {header + "Connection: close\r\n\r\nok", 3},
		"bytes after the response":  {header + "\r\nokHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, connections := listen(t, respondWith(test.response))
			pool := NewPool(Config{})
			for range 3 {
				if text, err := fetch(t, pool, address); err != nil || text != "ok" {
					t.Fatalf("got %q, %v", text, err)
				}
			}
			if got := connections.Load(); got != test.want {
				t.Errorf("%d connections, want %d", got, test.want)
			}
		})
	}
}

// TestUnsolicitedResponseEndsIdleConnection checks that a connection on which a second
// response arrived is not used again: that response would be taken for the one to the
// next request.
func TestUnsolicitedResponseEndsIdleConnection(t *testing.T) {
	written := make(chan struct{})
	address, connections := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		close(written)
		_, _ = reader.ReadByte()
	})
	pool := NewPool(Config{})
	if text, err := fetch(t, pool, address); err != nil || text != "ok" {
		t.Fatalf("got %q, %v", text, err)
	}
	<-written
	idle := pool.takeIdle(address)
	if idle != nil && sockets.Quiet(idle.raw) && idle.reader.Buffered() == 0 {
		t.Error("a connection with an unsolicited response would be reused")
	}
	if connections.Load() != 1 {
		t.Errorf("%d connections, want 1", connections.Load())
	}
}

// TestErrorsReportWhetherRequestWasSent checks the field Sent of errors. After such an
// error, a request that must run at most once is retried only if the field is false.
func TestErrorsReportWhetherRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := closed.Addr().String()
	closed.Close()
	reset, _ := listen(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = http.ReadRequest(reader) })
	garbage, _ := listen(t, func(conn net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(conn, "no answer at all\r\n\r\n") })
	tests := map[string]struct {
		address string
		sent    bool
	}{
		"connection refused":        {refused, false},
		"closed without a response": {reset, true},
		"malformed response":        {garbage, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := fetch(t, NewPool(Config{}), test.address)
			var failure *RequestError
			if !errors.As(err, &failure) || failure.Sent != test.sent {
				t.Errorf("got error %v, want a RequestError with Sent=%t", err, test.sent)
			}
		})
	}
}

// TestRequestIsNeverSentTwice checks that a request is not retried if the replica closes a
// reused connection without a response, as net/http does for GET.
func TestRequestIsNeverSentTwice(t *testing.T) {
	var requests atomic.Int32
	address, connections := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if requests.Add(1) > 1 {
				return // closes a reused connection on its second request
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool(Config{})
	if _, err := fetch(t, pool, address); err != nil {
		t.Fatal(err)
	}
	for _, method := range []string{http.MethodGet} {
		err := doAndClose(t.Context(), pool, address, newRequest(t, method))
		var failure *RequestError
		if !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("got error %v, want a RequestError with Sent=true", err)
		}
	}
	if requests.Load() != 2 || connections.Load() != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", requests.Load(), connections.Load())
	}
}

// TestTruncatedResponsesAreErrors checks that a response that the replica cuts off is never
// reported as complete.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	tests := map[string]string{
		"shorter than Content-Length": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort",
		"inside a chunk":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"without a last chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, text)
			})
			if got, err := fetch(t, NewPool(Config{}), address); err == nil {
				t.Errorf("truncated response %q was read without an error", got)
			}
		})
	}
}

// TestContextCancellationAbortsRequest checks that canceling the context closes the
// connection and ends the request.
func TestContextCancellationAbortsRequest(t *testing.T) {
	closed := make(chan struct{})
	address, _ := listen(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte() // returns when the connection is closed
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	err := doAndClose(ctx, NewPool(Config{}), address, newRequest(t, http.MethodPost))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	<-closed
}

// TestEarlyResponseEndsConnection checks that a connection is not reused if the replica
// responds before it has read the whole request, since it still expects the rest of the
// body.
func TestEarlyResponseEndsConnection(t *testing.T) {
	address, connections := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(200 * time.Millisecond)
	})
	pool := NewPool(Config{})
	body := []byte(strings.Repeat("x", 32<<20)) // more than the socket buffers hold
	for range 2 {
		response, err := pool.Do(t.Context(), address, newRequest(t, http.MethodPost), body)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(response.Body); err != nil || string(text) != "no" {
			t.Fatalf("got %q, %v", text, err)
		}
		response.Body.Close()
	}
	if got := connections.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// TestCloseIdleConnections checks that CloseExpired closes only expired connections and
// that CloseIdleConnections closes all idle ones.
func TestCloseIdleConnections(t *testing.T) {
	address, _ := listen(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	pool := NewPool(Config{IdleTimeout: time.Minute})
	if _, err := fetch(t, pool, address); err != nil {
		t.Fatal(err)
	}
	if pool.CloseExpired(time.Now()); openConnections(pool, address) != 1 {
		t.Error("CloseExpired closed a connection that has not expired")
	}
	if pool.LastReceived(address).IsZero() {
		t.Error("LastReceived is zero after a response")
	}
	if pool.CloseExpired(time.Now().Add(time.Hour)); openConnections(pool, address) != 0 {
		t.Error("CloseExpired did not close an expired connection")
	}
	if _, err := fetch(t, pool, address); err != nil {
		t.Fatal(err)
	}
	if pool.CloseIdleConnections(address); openConnections(pool, address) != 0 {
		t.Error("CloseIdleConnections did not close an idle connection")
	}
}

// openConnections counts the connections to an address, idle and in use.
func openConnections(pool *Pool, address string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if state, found := pool.addresses[address]; found {
		return state.open
	}
	return 0
}
