// Package client implements the client side of deckpulley's HTTP interfaces:
// operations of operators and of the platform, which any node accepts, and
// requests of callers to gateways. It fails over between addresses and
// resends only what is safe to resend. Every error that it returns is an
// *api.Error, except that New returns a plain error for a configuration
// without addresses, and Stream.Next returns io.EOF after a complete stream.
package client

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// Defaults of the fields of Config.
const (
	DefaultAttemptTimeout  = 12 * time.Second
	DefaultResponseTimeout = 3 * time.Second
	DefaultRetryInterval   = 200 * time.Millisecond
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
	// maxOperationWait bounds how long a node is asked to wait for an operation to
	// take effect before it responds. If it has not, the client sends the operation
	// again.
	maxOperationWait = 3 * time.Second
	// operationIDBytes is the number of random bytes in an operation ID.
	operationIDBytes = 12
)

// Config configures a Client.
type Config struct {
	// Addresses lists the host:port of nodes' operator ports, or of gateways'
	// caller ports for requests. At least one is required.
	Addresses []string
	// Token is the operator's bearer token. If it is empty, none is sent.
	Token string
	// HTTP sends the requests. Nil selects a new client.
	HTTP *http.Client
	// AttemptTimeout bounds one attempt at one address. Zero selects
	// DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// ResponseTimeout bounds the time to the response header. For an operation, the
	// time for which the node may delay the response is added. It detects frozen
	// nodes, which accept connections but never respond. Zero selects
	// DefaultResponseTimeout.
	ResponseTimeout time.Duration
	// RetryInterval is the time between two rounds over all addresses. Zero selects
	// DefaultRetryInterval.
	RetryInterval time.Duration
}

// Client sends operations and requests. It is safe for concurrent use.
type Client struct {
	config Config
	// preferred is the index of the address of the last successful attempt.
	preferred atomic.Int64
}

// New returns a client. It returns an error if the configuration has no address.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, errors.New("client: the configuration has no addresses")
	}
	if config.HTTP == nil {
		config.HTTP = &http.Client{}
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = DefaultAttemptTimeout
	}
	if config.ResponseTimeout == 0 {
		config.ResponseTimeout = DefaultResponseTimeout
	}
	if config.RetryInterval == 0 {
		config.RetryInterval = DefaultRetryInterval
	}
	return &Client{config: config}, nil
}

// NewOperationID returns a random operation ID.
func NewOperationID() string {
	random := make([]byte, operationIDBytes)
	rand.Read(random) // never returns an error
	return hex.EncodeToString(random)
}
