package httpgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/httpgateway"
)

// lineReplica is a replica that keeps the request line of each request as it came.
type lineReplica struct {
	address string
	lines   chan string
}

func newLineReplica(tb testing.TB) *lineReplica {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { listener.Close() })
	replica := &lineReplica{address: listener.Addr().String(), lines: make(chan string, 1)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go replica.serve(conn)
		}
	}()
	return replica
}

// serve answers one request, which must have no body.
func (r *lineReplica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	r.lines <- strings.TrimSuffix(line, "\r\n")
	id := ""
	for {
		field, err := reader.ReadString('\n')
		if err != nil || field == "\r\n" {
			break
		}
		if name, value, _ := strings.Cut(field, ":"); name == httpgateway.DefaultHeaders().RequestID {
			id = strings.TrimSpace(value)
		}
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", httpgateway.DefaultHeaders().RequestID, id)
}

// exchangeLine sends a request line to a gateway, and returns the status of the response
// and the request line that the replica received, "" if it received none.
func exchangeLine(tb testing.TB, gateway string, replica *lineReplica, line string) (status int, received string) {
	tb.Helper()
	conn, err := net.Dial("tcp", gateway)
	if err != nil {
		tb.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		tb.Fatal(err)
	}
	fmt.Fprintf(conn, "%s\r\nHost: example.test\r\n%s: q\r\nConnection: close\r\n\r\n", line, httpgateway.DefaultHeaders().RequestID)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		tb.Fatalf("no response to %q: %v", line, err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	select {
	case received = <-replica.lines:
	default:
	}
	return response.StatusCode, received
}

// TestTargetIsForwardedUnchanged guards against a request that reaches its replica with
// another target than its client sent (UNASKED, found by the review).
func TestTargetIsForwardedUnchanged(t *testing.T) {
	const notForwarded = ""
	tests := map[string]string{ // request line sent, and received by the replica
		"GET / HTTP/1.1":                                  "GET / HTTP/1.1",
		"GET //other.example/2f HTTP/1.1":                 "GET //other.example/2f HTTP/1.1",
		"GET ///x HTTP/1.1":                               "GET ///x HTTP/1.1",
		"GET /a//b/../c/./ HTTP/1.1":                      "GET /a//b/../c/./ HTTP/1.1",
		"GET /a%2fb%2F%7e HTTP/1.1":                       "GET /a%2fb%2F%7e HTTP/1.1",
		"GET /a;b=c;d HTTP/1.1":                           "GET /a;b=c;d HTTP/1.1",
		"GET /a? HTTP/1.1":                                "GET /a? HTTP/1.1",
		"GET /a??b=%zz&c=1;2 HTTP/1.1":                    "GET /a??b=%zz&c=1;2 HTTP/1.1",
		"GET /a|b\"<>^`{} HTTP/1.1":                       "GET /a|b\"<>^`{} HTTP/1.1",
		"GET /\xc3\xa4\xff HTTP/1.1":                      "GET /\xc3\xa4\xff HTTP/1.1",
		"GET /a#b HTTP/1.1":                               "GET /a#b HTTP/1.1",
		"GET /http://other.example/x HTTP/1.1":            "GET /http://other.example/x HTTP/1.1",
		"GET http://example.test/a%2fb?c HTTP/1.1":        "GET /a%2fb?c HTTP/1.1",
		"GET http://example.test//a HTTP/1.1":             "GET //a HTTP/1.1",
		"GET http://example.test HTTP/1.1":                "GET / HTTP/1.1",
		"GET http://example.test?q HTTP/1.1":              "GET /?q HTTP/1.1",
		"GET http://other.example/a HTTP/1.1":             notForwarded,
		"OPTIONS * HTTP/1.1":                              notForwarded,
		"OPTIONS http://example.test HTTP/1.1":            notForwarded,
		"CONNECT example.test:443 HTTP/1.1":               notForwarded,
		"GET example.test HTTP/1.1":                       notForwarded,
		"GET /a%zz HTTP/1.1":                              notForwarded,
		"GET /a b HTTP/1.1":                               notForwarded,
		"GET /a\x01b HTTP/1.1":                            notForwarded,
		"DELETE /a HTTP/1.1":                              "DELETE /a HTTP/1.1",
		"OPTIONS /a HTTP/1.1":                             "OPTIONS /a HTTP/1.1",
		"M-SEARCH /a HTTP/1.1":                            "M-SEARCH /a HTTP/1.1",
		"GET /" + strings.Repeat("a", 9000) + " HTTP/1.1": "GET /" + strings.Repeat("a", 9000) + " HTTP/1.1",
	}
	replica := newLineReplica(t)
	gateway := startProxyFor(t, replica.address)
	for line, want := range tests {
		status, received := exchangeLine(t, gateway, replica, line)
		if received != want {
			t.Errorf("%.80q: the replica received %.80q, want %.80q", line, received, want)
		}
		if succeeded := status == http.StatusOK; succeeded != (want != notForwarded) {
			t.Errorf("%.80q: got status %d", line, status)
		}
	}
}

// FuzzTarget checks for targets in origin form that the replica receives what the client
// sent, or nothing.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/", "//a/b", "/%2f;?", "/a?b=c&d", "/\xff|\\", "/*"} {
		f.Add(target)
	}
	replica := newLineReplica(f)
	gateway := startProxyFor(f, replica.address)
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \r\n\t") || len(target) > 1<<12 {
			t.Skip("not a target in origin form")
		}
		line := "POST " + target + " HTTP/1.1"
		status, received := exchangeLine(t, gateway, replica, line)
		if received != "" && received != line {
			t.Errorf("the client sent %q, the replica received %q", line, received)
		}
		if status == http.StatusOK && received == "" {
			t.Errorf("%q: a success of no replica", line)
		}
	})
}
