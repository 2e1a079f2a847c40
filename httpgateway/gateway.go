// Package httpgateway is the gateway for services that are routed by host and path. It
// keeps a copy of the registry, forwards requests by it, directs clients to gateways,
// and exchanges loads with the other gateways.
//
// If the primary cannot be reached, a gateway goes on with the newest configuration
// that it has: it cannot tell a partition from the loss of all control nodes, and
// rejecting requests would end the service in both cases. The primary acknowledges a
// change only when each gateway with a lease has it in force or its lease has expired,
// so a gateway that can reach the primary is never behind an acknowledged change.
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
	// Info is what the primary and the other gateways learn of this one.
	Info peer.GatewayInfo
	// Seeds are the addresses of control nodes that are contacted first.
	Seeds       []string
	LeaseConfig lease.Config
	// Network carries the messages. The Gateway starts and closes it.
	Network transport.Network
	// Headers are the names of the headers of requests. Default DefaultHeaders.
	Headers Headers
	// Bounds limit all gateways together. A zero field stands for its default.
	Bounds dispatch.Bounds
	Logger *slog.Logger
}

// Gateway follows the registry and serves clients by it. It is safe for concurrent use.
type Gateway struct {
	options Options
	agent   *agent.Agent
	proxy   *Proxy
	// deregistered is set by Deregister.
	deregistered atomic.Bool

	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New returns a Gateway and registers its message handlers. Start starts it.
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

// Start starts the network and the goroutines that follow the registry. Close ends
// them.
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

// Counts returns the totals of requests and attempts since the start.
func (g *Gateway) Counts() dispatch.Counts { return g.proxy.Counts() }

// Server returns a server for clients, ready to serve a listener.
func (g *Gateway) Server() *http.Server { return g.proxy.Server() }

// Status describes the gateway's lease and its copy of the registry.
func (g *Gateway) Status() agent.Status { return g.agent.Status() }

// Ready reports whether clients should use this gateway.
func (g *Gateway) Ready() bool { return g.proxy.Ready() && !g.deregistered.Load() }

// Where returns the addresses of the gateways that a client of a region should
// use, at most limit. It is empty when none is known.
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
	query.Partitioned = !query.Draining && !g.agent.Valid()
	return query.Answer(state.Gateways())
}

// Deregister releases the gateway's lease and makes Where direct clients to other
// gateways. Requests that still arrive are served. Calls after the first do nothing.
func (g *Gateway) Deregister(ctx context.Context) {
	if g.deregistered.Swap(true) {
		return
	}
	g.agent.ReleaseLease(ctx)
}

// Close closes the network and waits for the goroutines of Start. Requests in flight
// are not affected.
func (g *Gateway) Close() error {
	g.cancel()
	err := g.options.Network.Close()
	g.workers.Wait()
	return err
}
