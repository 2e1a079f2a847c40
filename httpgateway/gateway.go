// Package httpgateway implements the gateway for services that are routed by host and
// path. A gateway follows a copy of the registry, forwards requests to replicas
// according to its routes, directs clients to gateways, and exchanges load reports with
// the other gateways.
//
// A gateway that cannot reach the primary continues with the newest configuration that
// it has: it cannot distinguish a partition from the loss of all control nodes, and
// rejecting requests would interrupt the service in both cases. The primary acknowledges
// a change only when each gateway with a lease has activated it or that lease has
// expired, so a gateway that can reach the primary is never behind an acknowledged
// change.
package httpgateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/directory"
	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/gateway/agent"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// Options configure a Gateway. All fields but Headers and Bounds are required.
type Options struct {
	// Info describes this gateway to the primary and to the other gateways.
	Info peer.GatewayInfo
	// Seeds are the addresses of the control nodes to contact first.
	Seeds []string
	// LeaseConfig configures the lease that the gateway requests from the primary.
	LeaseConfig lease.Config
	// Network carries the messages between nodes. The Gateway starts and closes it.
	Network transport.Network
	// Headers names the headers of requests. The zero value selects DefaultHeaders.
	Headers Headers
	// Bounds are limits on all gateways together. A zero field selects its default.
	Bounds dispatch.Bounds
	// Logger receives the gateway's log.
	Logger *slog.Logger
}

// Gateway follows the registry and forwards clients' requests according to its routes. It
// is safe for concurrent use.
type Gateway struct {
	options Options
	agent   *agent.Agent
	proxy   *Proxy
	// deregistered is set by Deregister; the gateway is then not ready.
	deregistered atomic.Bool

	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New returns a Gateway and registers its message handlers. Start starts its
// network and goroutines.
func New(options Options) *Gateway {
	g := &Gateway{options: options}
	g.proxy = NewProxy(ProxyOptions{
		Info:    options.Info,
		Network: options.Network,
		Headers: options.Headers,
		Bounds:  options.Bounds,
		Logger:  options.Logger,
	})
	started := time.Now()
	g.agent = agent.New(agent.Options{
		Gateway:     options.Info,
		Seeds:       options.Seeds,
		LeaseConfig: options.LeaseConfig,
		Network:     options.Network,
		Clock:       func() time.Duration { return time.Since(started) },
		OnActivate:  g.proxy.Update,
		Logger:      options.Logger,
	})
	return g
}

// Start starts the network and the goroutines that follow the registry and exchange
// loads. Close stops them.
func (g *Gateway) Start() error {
	if err := g.options.Network.Start(); err != nil {
		return fmt.Errorf("httpgateway: starting the network: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.workers.Go(func() { g.agent.Run(ctx) })
	g.workers.Go(func() { g.proxy.Run(ctx) })
	return nil
}

// Counts returns the numbers of requests and attempts since the Gateway was created.
func (g *Gateway) Counts() dispatch.Counts { return g.proxy.Counts() }

// Server returns an HTTP server for clients; the caller passes it a listener to serve.
func (g *Gateway) Server() *http.Server { return g.proxy.Server() }

// SetSeeds replaces the addresses of the control nodes to contact if no known one grants a
// lease.
func (g *Gateway) SetSeeds(seeds []string) { g.agent.SetSeeds(seeds) }

// Status returns the state of the gateway's lease and of its copy of the registry.
func (g *Gateway) Status() agent.Status { return g.agent.Status() }

// Ready reports whether clients should use this gateway.
func (g *Gateway) Ready() bool { return g.proxy.Ready() && !g.deregistered.Load() }

// Where returns at most limit addresses of gateways that a client in the region should
// use. The result is empty if no gateway is known.
func (g *Gateway) Where(region string, limit int) []string {
	state := g.agent.Active()
	if state == nil {
		return nil
	}
	query := directory.Query{
		Region:   region,
		Limit:    limit,
		Node:     g.options.Info.Name,
		Draining: g.deregistered.Load(),
	}
	query.Partitioned = !query.Draining && g.agent.Partitioned()
	return query.Answer(state.Gateways())
}

// Deregister prepares a shutdown: it releases the gateway's lease and makes Where direct
// clients to other gateways. Requests that still arrive are served. Calls after the first
// have no effect.
func (g *Gateway) Deregister(ctx context.Context) {
	if g.deregistered.Swap(true) {
		return
	}
	g.agent.ReleaseLease(ctx)
}

// Close stops the goroutines that Start started, closes the network and waits for the
// goroutines to end. It must be called only after Start. It does not interrupt client
// requests in flight.
func (g *Gateway) Close() error {
	g.cancel()
	err := g.options.Network.Close()
	g.workers.Wait()
	return err
}
