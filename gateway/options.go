package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
	"github.com/deckpulley/deckpulley/transport"
)

// Authenticator verifies the Authorization header of an operator or the platform.
type Authenticator interface {
	Authenticate(header string) (name string, ok bool)
}

// HTTPProxy serves requests that are routed by host and path, by the same copy of the
// registry as the gateway; *httpgateway.Proxy implements it.
type HTTPProxy interface {
	// Update makes a newer state of the catalog the active one.
	Update(state *catalog.State)
	// Run does the background work of the proxy until ctx ends.
	Run(ctx context.Context)
	// Replicas describes the replicas as the proxy sees them.
	Replicas() []api.HTTPReplicaStatus
	// Collector returns the metrics of the proxy.
	Collector() prometheus.Collector
}

// Options configures a Gateway. Zero values of optional fields are replaced by
// defaults.
type Options struct {
	// Info is the name, incarnation, zone, region and addresses of the gateway.
	Info peer.GatewayInfo
	// Seeds are the peer addresses that are contacted first.
	Seeds []string
	// TicketKeys are the fleet's keys for tickets, newest first.
	TicketKeys [][]byte
	// LeaseConfig is the lease configuration of the fleet.
	LeaseConfig lease.Config
	// Network carries the messages between the fleet's processes. The gateway starts it;
	// the owner of the network closes it.
	Network transport.Network
	// Router decides where requests run. Optional.
	Router Router
	// Dial opens connections to replicas. Optional.
	Dial DialFunc
	// DialOverrides maps a replica's address to the one to dial in its place.
	DialOverrides map[string]string
	// Tokens returns what authenticates operators and the platform; without it every
	// request is accepted.
	Tokens func() Authenticator
	// HTTPProxy serves the requests that are routed by host and path. Optional.
	HTTPProxy HTTPProxy
	// Clock is a monotonic clock with an arbitrary origin. Optional.
	Clock func() time.Duration
	// Seed makes the random choices of the gateway repeatable.
	Seed uint64
	// PollInterval and PollTimeout configure the health checks of replicas. Optional.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// MaxConnections bounds the open connections of callers. Optional.
	MaxConnections int
	// ShutdownTimeout bounds how long Stop lets requests finish. Optional.
	ShutdownTimeout time.Duration
	// TicketGracePeriod is how long a draining gateway accepts requests with tickets that
	// it issued before. It is part of ShutdownTimeout. Optional.
	TicketGracePeriod time.Duration
	Logger            *slog.Logger
}

// Defaults of Options.
const (
	defaultPollInterval      = 500 * time.Millisecond
	defaultPollTimeout       = time.Second
	defaultMaxConnections    = 1024
	defaultShutdownTimeout   = 20 * time.Second
	defaultTicketGracePeriod = 2 * time.Second
)

// withDefaults replaces the zero values of optional fields.
func (o *Options) withDefaults() {
	if o.Clock == nil {
		started := time.Now()
		o.Clock = func() time.Duration { return time.Since(started) }
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.PollTimeout = cmp.Or(o.PollTimeout, defaultPollTimeout)
	o.MaxConnections = cmp.Or(o.MaxConnections, defaultMaxConnections)
	o.ShutdownTimeout = cmp.Or(o.ShutdownTimeout, defaultShutdownTimeout)
	o.TicketGracePeriod = cmp.Or(o.TicketGracePeriod, defaultTicketGracePeriod)
	if o.Router == nil {
		o.Router = o.newRouter()
	}
}

// newRouter returns the default router.
func (o *Options) newRouter() *routing.Router {
	return routing.New(routing.Config{
		Region:       o.Info.Region,
		Gateway:      o.Info.Name,
		Seed:         o.Seed,
		Logger:       o.Logger,
		PollInterval: o.PollInterval,
	})
}
