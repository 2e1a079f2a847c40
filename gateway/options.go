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
	// Authenticate returns the name that belongs to the token in the header, and whether
	// the token is valid.
	Authenticate(header string) (name string, ok bool)
}

// HTTPProxy serves requests that are routed by host and path, according to the same
// active state of the registry as the gateway. *httpgateway.Proxy implements it.
type HTTPProxy interface {
	// Update replaces the active state of the registry by a newer one.
	Update(state *catalog.State)
	// Run does the background work of the proxy until ctx ends.
	Run(ctx context.Context)
	// Replicas returns the status of the replicas, as the proxy sees them.
	Replicas() []api.HTTPReplicaStatus
	// Collector returns the metrics of the proxy.
	Collector() prometheus.Collector
}

// Options configures a Gateway. Zero values of optional fields are replaced by
// defaults.
type Options struct {
	// Info has the name, incarnation, zone, region and addresses of the gateway.
	Info peer.GatewayInfo
	// Seeds lists the peer addresses that are contacted first to find the primary.
	Seeds []string
	// TicketKeys are the keys that seal tickets, which all gateways of the fleet share. The
	// newest key comes first.
	TicketKeys [][]byte
	// LeaseConfig is the lease configuration, the same on all nodes of the fleet.
	LeaseConfig lease.Config
	// Network carries the messages between the fleet's processes. The gateway starts it;
	// the owner of the network closes it.
	Network transport.Network
	// Router decides where requests run. Optional: the default is a *routing.Router.
	Router Router
	// Dial opens connections to replicas. Optional: the default is net.Dialer.DialContext.
	Dial DialFunc
	// DialOverrides maps replica addresses to the addresses to dial instead.
	DialOverrides map[string]string
	// Tokens returns the authenticator for requests of operators and the platform. It is
	// called for each request. If it is nil, every request is accepted.
	Tokens func() Authenticator
	// HTTPProxy serves the requests that are routed by host and path. Optional: without it
	// there are none.
	HTTPProxy HTTPProxy
	// Clock returns the time of a monotonic clock with an arbitrary origin. Optional: the
	// default starts at 0 in New.
	Clock func() time.Duration
	// Seed is the seed of the gateway's random choices.
	Seed uint64
	// PollInterval is the time between two polls of a replica for its health, and PollTimeout
	// bounds one poll. Zero selects the default.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// MaxConnections bounds the open connections of callers. Zero selects the default.
	MaxConnections int
	// ShutdownTimeout bounds how long Stop waits for active requests. Zero selects the
	// default.
	ShutdownTimeout time.Duration
	// TicketGracePeriod is how long a draining gateway still accepts requests with tickets
	// that it issued. It is part of ShutdownTimeout, not added to it. Zero selects the
	// default.
	TicketGracePeriod time.Duration
	// Logger receives the log messages. Optional: without it they are discarded.
	Logger *slog.Logger
}

// Defaults of Options.
const (
	defaultPollInterval      = 500 * time.Millisecond
	defaultPollTimeout       = time.Second
	defaultMaxConnections    = 1024
	defaultShutdownTimeout   = 20 * time.Second
	defaultTicketGracePeriod = 2 * time.Second
)

// withDefaults replaces the zero values of optional fields by their defaults.
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
