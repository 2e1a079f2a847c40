package gateway

import (
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

// Authenticator judges the Authorization header of an operator or the platform.
type Authenticator interface {
	Authenticate(header string) (name string, ok bool)
}

// HTTPProxy carries requests that are routed by host and path, by the same copy
// of the registry; *httpgateway.Proxy is the real one.
type HTTPProxy interface {
	// Update makes a newer reading of the registry decide.
	Update(contents *catalog.State)
	// Run does what is to be done beside requests until ctx ends.
	Run(ctx context.Context)
	// Replicas describes the replicas as the proxy holds them.
	Replicas() []api.HTTPReplicaStatus
	// Collector gives the proxy's figures out as metrics.
	Collector() prometheus.Collector
}

// Options sets up a Gateway. Zero values of what is marked optional are replaced
// by defaults.
type Options struct {
	// Info is the gateway's name, incarnation, place and addresses.
	Info peer.GatewayInfo
	// Seeds are the peers' addresses of the first contact.
	Seeds []string
	// TicketKeys are the fleet's keys, newest first.
	TicketKeys [][]byte
	// LeaseConfig are the fleet's lease terms.
	LeaseConfig lease.Config
	// Network carries the messages to our own processes. The gateway starts it.
	Network transport.Network
	// Router decides where requests run. Optional.
	Router Router
	// Dial opens connections to replicas. Optional.
	Dial DialFunc
	// DialOverrides maps a replica's address to the one to dial in its place.
	DialOverrides map[string]string
	// Tokens authenticates operators and the platform; nil lets everyone pass.
	Tokens func() Authenticator
	// HTTPProxy carries requests by host and path beside those of the gateway itself.
	// Optional.
	HTTPProxy HTTPProxy
	// Clock is monotonic and starts anywhere. Optional.
	Clock func() time.Duration
	// Seed makes the choices that are left to chance repeatable.
	Seed uint64
	// PollInterval and PollTimeout set how replicas are watched. Optional.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// MaxConnections bounds the callers' connections. Optional.
	MaxConnections int
	// ShutdownTimeout bounds how long a stopping gateway lets requests finish. Optional.
	ShutdownTimeout time.Duration
	// TicketGracePeriod is how long a stopping gateway takes requests with tickets that
	// it issued before. Optional; it is a part of StopTimeout.
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
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.Router == nil {
		o.Router = routing.New(routing.Config{
			Region:       o.Info.Region,
			Gateway:      o.Info.Name,
			Seed:         o.Seed,
			Logger:       o.Logger,
			PollInterval: o.PollInterval,
		})
	}
	if o.PollTimeout == 0 {
		o.PollTimeout = defaultPollTimeout
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.ShutdownTimeout == 0 {
		o.ShutdownTimeout = defaultShutdownTimeout
	}
	if o.TicketGracePeriod == 0 {
		o.TicketGracePeriod = defaultTicketGracePeriod
	}
}
