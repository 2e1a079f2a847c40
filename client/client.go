// Package client implements the client side of deckpulley's HTTP interfaces:
// the operations of operators and of the platform, which any node accepts, and
// the requests of callers to gateways. It fails over between addresses and
// resends only what is safe to resend. Every error that it returns is an
// *api.Error, except that New returns a plain error for a configuration
// without addresses.
package client

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	DefaultAttemptTimeout  = 12 * time.Second
	DefaultResponseTimeout = 3 * time.Second
	DefaultRetryInterval   = 200 * time.Millisecond
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
	// maxOperationWait bounds how long a node is asked to delay the response to an
	// operation; the operation is sent again after that.
	maxOperationWait = 3 * time.Second
	// operationIDBytes is the number of random bytes in an operation ID.
	operationIDBytes = 12
)

// Config configures a Client.
type Config struct {
	// Addresses lists the host:port of nodes' operator ports, or of gateways'
	// caller ports for requests. At least one is required.
	Addresses []string
	// Token is the operator's bearer token; empty sends none.
	Token string
	// HTTP sends the requests. The default is a new client.
	HTTP *http.Client
	// AttemptTimeout bounds one attempt at one address. The default is 12 s.
	AttemptTimeout time.Duration
	// ResponseTimeout bounds the time to the response header of a read, and of an
	// operation beyond the time for which the node may delay it. It detects frozen
	// nodes, which accept connections and never respond. The default is 3 s.
	ResponseTimeout time.Duration
	// RetryInterval is the time between two rounds over all addresses. The default
	// is 200 ms.
	RetryInterval time.Duration
}

// Client sends operations and requests. It is safe for concurrent use.
type Client struct {
	config Config
	// preferred is the index of the address that responded last.
	preferred atomic.Int64
}

// New returns a client. It fails if the configuration has no address.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, errors.New("client: no address is given")
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
