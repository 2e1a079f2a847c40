package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Limits for the connections to replicas.
const (
	replicaDialTimeout = time.Second
	// replicaIdleTimeout is short to make it unlikely that a request is sent on a pooled
	// connection that the replica is about to close.
	replicaIdleTimeout = 5 * time.Second
	maxIdlePerReplica  = 32
)

// Limits for the response bodies of replicas, in bytes.
const (
	maxReplicaErrorBody = 64 << 10
	maxReportBytes      = 64 << 10
)

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// replicaClient sends HTTP requests to replicas. It never sends a request for generation
// twice, see singleUseBody.
type replicaClient struct {
	// pooled reuses connections, for requests that may be repeated.
	pooled *http.Transport
	// unpooled opens a new connection for each request.
	unpooled *http.Transport
}

func newReplicaClient(dial DialFunc) *replicaClient {
	dialGuarded := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialContext, cancel := context.WithTimeout(ctx, replicaDialTimeout)
		defer cancel()
		conn, err := dial(dialContext, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
	pooled := &http.Transport{
		DialContext:            dialGuarded,
		DisableCompression:     true,
		IdleConnTimeout:        replicaIdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerReplica,
		MaxResponseHeaderBytes: api.MaxHeaderBytes,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &replicaClient{pooled: pooled, unpooled: unpooled}
}

// close closes the idle connections of both transports.
func (c *replicaClient) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// singleUseBody is a request body that net/http can't rewind, so that http.Transport does
// not send the request again after a connection error.
type singleUseBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// generate sends a request for generation. The guard must allow its first byte. If
// newConnection is true, no pooled connection is used: the replica might close that one
// just as the request is sent, which would make the outcome indeterminate.
func (c *replicaClient) generate(ctx context.Context, address string, body []byte, newConnection bool, guard *sendGuard) (*http.Response, error) {
	request, err := http.NewRequestWithContext(withGuard(ctx, guard), http.MethodPost, "http://"+address+api.PathReplicaGenerate, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: creating the replica request: %w", err)
	}
	request.Body = singleUseBody{bytes.NewReader(body)}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	if newConnection {
		return c.unpooled.RoundTrip(request)
	}
	return c.pooled.RoundTrip(request)
}

// report requests the report of a replica. Its guard allows the request at any time,
// since a report may be requested without a lease.
func (c *replicaClient) report(ctx context.Context, address string) (*api.ReplicaReport, error) {
	unguarded := &sendGuard{check: func() error { return nil }}
	request, err := http.NewRequestWithContext(withGuard(ctx, unguarded), http.MethodGet, "http://"+address+api.PathReplicaReport, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: creating the report request: %w", err)
	}
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("gateway: requesting the report: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("gateway: requesting the report: status %d", response.StatusCode)
	}
	body, err := readBounded(response.Body, maxReportBytes)
	if err != nil {
		return nil, fmt.Errorf("gateway: reading the report: %w", err)
	}
	report := new(api.ReplicaReport)
	if err := decodeSingle(body, report); err != nil {
		return nil, fmt.Errorf("gateway: decoding the report: %w", err)
	}
	return report, nil
}
