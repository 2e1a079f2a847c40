package httpgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/httpgateway"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// responseTimeout bounds the wait for a response in these tests.
const responseTimeout = 10 * time.Second

// startProxy serves a proxy with one replica, which responds to every request. It returns
// the proxy's address.
func startProxy(t *testing.T) string {
	t.Helper()
	headers := httpgateway.DefaultHeaders()
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	}))
	t.Cleanup(replica.Close)
	return startProxyFor(t, strings.TrimPrefix(replica.URL, "http://"))
}

// startProxyFor serves a proxy with a replica at an address.
func startProxyFor(tb testing.TB, replica string) string {
	tb.Helper()
	proxy := httpgateway.NewProxy(httpgateway.ProxyOptions{
		Info:    peer.GatewayInfo{Name: "gateway-1", Zone: "north-1", Region: "north"},
		Network: transport.NewMemory().Node("gateway-1", "gateway-1:1"),
	})
	state, err := exampleState(replica)
	if err != nil {
		tb.Fatal(err)
	}
	proxy.Update(state)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := proxy.Server()
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// bodyClient sends a request whose body it writes piece by piece.
type bodyClient struct {
	net.Conn

	reader *bufio.Reader
}

func newBodyClient(t *testing.T, address, fields string) *bodyClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := &bodyClient{Conn: conn, reader: bufio.NewReader(conn)}
	client.begin(fields)
	return client
}

// begin writes the header of a request. An error shows when the answer is read.
func (c *bodyClient) begin(fields string) {
	id := httpgateway.DefaultHeaders().RequestID
	fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: example.test\r\n%s: q\r\nTransfer-Encoding: chunked\r\n%s\r\n", id, fields)
}

// writeChunk writes a part of the body. An error means that the gateway has closed the
// connection.
func (c *bodyClient) writeChunk(size int) error {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return err
}

// answer is what a client sees of a response.
type answer struct {
	status     int
	retryAfter string
	closes     bool // the gateway closes the connection afterwards
}

// answer waits for a response and reads it to its end.
func (c *bodyClient) answer() (answer, error) {
	if err := c.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), closes: response.Close}, err
}

// TestBodiesOfAllClientsAreBounded guards against clients that together fill the memory of a
// gateway with bodies that each are within the limit and never end.
func TestBodiesOfAllClientsAreBounded(t *testing.T) {
	const (
		clients   = 20
		bodyBytes = 8 << 20 // of a body that has no end
		mostKept  = 8       // bodies of bodyBytes in 64 MiB
	)
	address := startProxy(t)
	refused := make(chan error, clients)
	open := make([]*bodyClient, clients)
	for i := range open {
		open[i] = newBodyClient(t, address, "")
		go func() {
			for range bodyBytes >> 16 {
				if open[i].writeChunk(1<<16) != nil {
					return
				}
			}
		}()
		go func() {
			got, err := open[i].answer()
			if want := (answer{http.StatusServiceUnavailable, "1.000", true}); err == nil && got != want {
				err = fmt.Errorf("got %+v, want %+v", got, want)
			}
			refused <- err
		}()
	}
	for range clients - mostKept {
		if err := <-refused; err != nil {
			t.Fatalf("fewer than %d of %d bodies of %d MB were refused: %v", clients-mostKept, clients, bodyBytes>>20, err)
		}
	}
	for _, client := range open {
		client.Close()
	}
	for end := time.Now().Add(responseTimeout); ; time.Sleep(10 * time.Millisecond) {
		client := newBodyClient(t, address, "")
		err := client.writeChunk(bodyBytes)
		if err == nil {
			_, err = fmt.Fprint(client, "0\r\n\r\n")
		}
		got, answerErr := client.answer()
		if err == nil && answerErr == nil && got.status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after the others have closed: got %+v, %v, want a success", got, answerErr)
		}
	}
}

// TestBodyWithoutEndIsGivenUp guards against a body that never ends and keeps its memory and
// connection for as long as its client likes.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	timeout := httpgateway.DefaultHeaders().Deadline + ": 300\r\n"
	tests := map[string]time.Duration{ // the pause between two pieces
		"nothing follows": 0,
		"bytes trickle":   20 * time.Millisecond,
	}
	address := startProxy(t)
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			client := newBodyClient(t, address, timeout)
			if err := client.writeChunk(1); err != nil {
				t.Fatal(err)
			}
			if pause > 0 {
				go func() {
					for client.writeChunk(1) == nil {
						time.Sleep(pause)
					}
				}()
			}
			got, err := client.answer()
			if want := (answer{http.StatusRequestTimeout, "", true}); err != nil || got != want {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
		})
	}
}

// TestReadDeadlineEndsWithTheBody checks that a connection whose request took a body is
// used again after the timeout of that request has passed.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	const timeout = 200 * time.Millisecond
	address := startProxy(t)
	client := newBodyClient(t, address, fmt.Sprintf("%s: %d\r\n", httpgateway.DefaultHeaders().Deadline, timeout.Milliseconds()))
	for range 2 {
		if _, err := fmt.Fprint(client, "1\r\nx\r\n0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if got, err := client.answer(); err != nil || got.status != http.StatusOK {
			t.Fatalf("got %+v, %v, want a success", got, err)
		}
		time.Sleep(2 * timeout)
		client.begin("")
	}
}
