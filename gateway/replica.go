package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Bounds of the connections to replicas.
const (
	replicaDialTimeout = time.Second
	// replicaIdleTimeout is short, so that a kept connection is rarely one that
	// the replica is about to close.
	replicaIdleTimeout  = 5 * time.Second
	maxIdlePerReplica   = 32
	maxReplicaErrorBody = 64 << 10
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errNothingSent is what a write gets after its request was given up.
var errNothingSent = errors.New("gateway: request was given up before its first byte")

// sendGuard knows whether the first byte of one request has left, and lets it
// leave only if gate agrees at that very moment.
type sendGuard struct {
	gate func() error

	mutex  sync.Mutex
	sent   bool
	closed bool
	denied error
}

// permit is called before each write to the replica.
func (g *sendGuard) permit() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.sent {
		return nil
	}
	if g.closed {
		return errNothingSent
	}
	if err := g.gate(); err != nil {
		g.denied = err
		g.closed = true
		return err
	}
	g.sent = true
	return nil
}

// settle ends the guard after an error: a request that has not been sent by now
// is never sent. It reports whether any byte may have left and the gate's denial.
func (g *sendGuard) settle() (sent bool, denied error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	return g.sent, g.denied
}

// guardedConn asks the guard of the request that has the connection.
type guardedConn struct {
	net.Conn
	mutex sync.Mutex
	guard *sendGuard
}

func (c *guardedConn) arm(guard *sendGuard) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.guard = guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	guard := c.guard
	c.mutex.Unlock()
	if guard != nil {
		if err := guard.permit(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// replicaClient speaks HTTP to replicas. It never sends a request twice.
type replicaClient struct {
	kept  *http.Transport // for what may be repeated
	fresh *http.Transport // a connection for each request
}

func newReplicaClient(dial DialFunc) *replicaClient {
	guarded := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialContext, cancel := context.WithTimeout(ctx, replicaDialTimeout)
		defer cancel()
		conn, err := dial(dialContext, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
	kept := &http.Transport{
		DialContext:            guarded,
		DisableCompression:     true,
		IdleConnTimeout:        replicaIdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerReplica,
		MaxResponseHeaderBytes: api.MaxHeaderBytes,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &replicaClient{kept: kept, fresh: fresh}
}

func (c *replicaClient) close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// onceBody is a body that the standard library cannot send again.
type onceBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// withGuard returns a context that arms the connection of its request with a guard.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*guardedConn).arm(guard) //nolint:forcetypeassert // newReplicaClient's transports dial no other kind; sending without a guard must not happen
	}})
}

// generate sends one request. fresh asks for a connection of its own, so that a
// kept one that is being closed cannot make the outcome ambiguous.
func (c *replicaClient) generate(ctx context.Context, address string, body []byte, fresh bool, guard *sendGuard) (*http.Response, error) {
	request, err := http.NewRequestWithContext(withGuard(ctx, guard), http.MethodPost, "http://"+address+api.PathReplicaGenerate, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: replica request: %w", err)
	}
	request.Body = onceBody{bytes.NewReader(body)}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	if fresh {
		return c.fresh.RoundTrip(request)
	}
	return c.kept.RoundTrip(request)
}

// report asks a replica for its report.
func (c *replicaClient) report(ctx context.Context, address string) (*api.ReplicaReport, error) {
	open := &sendGuard{gate: func() error { return nil }}
	request, err := http.NewRequestWithContext(withGuard(ctx, open), http.MethodGet, "http://"+address+api.PathReplicaReport, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: report request: %w", err)
	}
	response, err := c.kept.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("gateway: report: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("gateway: report: status %d", response.StatusCode)
	}
	body, err := readBounded(response.Body, maxReportBytes)
	if err != nil {
		return nil, fmt.Errorf("gateway: report: %w", err)
	}
	report := new(api.ReplicaReport)
	if err := decodeOne(body, report); err != nil {
		return nil, fmt.Errorf("gateway: report: %w", err)
	}
	return report, nil
}

// errTooLong means that a body passes its bound.
var errTooLong = errors.New("gateway: body is too long")

// readBounded reads a whole body of at most limit bytes.
func readBounded(source io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLong
	}
	return body, nil
}
