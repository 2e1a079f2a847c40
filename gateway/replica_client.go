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

// Limits of the connections to replicas.
const (
	replicaDialTimeout = time.Second
	// replicaIdleTimeout is short, so that a pooled connection is rarely one that the
	// replica is about to close.
	replicaIdleTimeout = 5 * time.Second
	maxIdlePerReplica  = 32
)

// Limits of the bodies of replicas, in bytes.
const (
	maxReplicaErrorBody = 64 << 10
	maxReportBytes      = 64 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// replicaClient sends HTTP requests to replicas. It never sends one twice.
type replicaClient struct {
	// pooled is for requests that may be repeated.
	pooled *http.Transport // for what may be repeated
	// unpooled opens a connection for each request.
	unpooled *http.Transport
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
	pooled := &http.Transport{
		DialContext:            guarded,
		DisableCompression:     true,
		IdleConnTimeout:        replicaIdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerReplica,
		MaxResponseHeaderBytes: api.MaxHeaderBytes,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &replicaClient{pooled: pooled, unpooled: unpooled}
}

// close closes the idle connections.
func (c *replicaClient) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// singleUseBody is a body that net/http can't send again.
type singleUseBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// generate sends one request. With ownConnection it uses a new connection, so that
// the closing of a pooled one can't make the outcome indeterminate.
func (c *replicaClient) generate(ctx context.Context, address string, body []byte, ownConnection bool, guard *sendGuard) (*http.Response, error) {
	request, err := http.NewRequestWithContext(withGuard(ctx, guard), http.MethodPost, "http://"+address+api.PathReplicaGenerate, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: replica request: %w", err)
	}
	request.Body = singleUseBody{bytes.NewReader(body)}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	if ownConnection {
		return c.unpooled.RoundTrip(request)
	}
	return c.pooled.RoundTrip(request)
}

// report fetches the report of a replica.
func (c *replicaClient) report(ctx context.Context, address string) (*api.ReplicaReport, error) {
	open := &sendGuard{check: func() error { return nil }}
	request, err := http.NewRequestWithContext(withGuard(ctx, open), http.MethodGet, "http://"+address+api.PathReplicaReport, nil)
	if err != nil {
		return nil, fmt.Errorf("gateway: report request: %w", err)
	}
	response, err := c.pooled.RoundTrip(request)
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
	if err := decodeSingle(body, report); err != nil {
		return nil, fmt.Errorf("gateway: report: %w", err)
	}
	return report, nil
}
