// Package httpgateway is the gateway for services that are reached by host and
// path: it keeps a copy of the registry, carries requests by it, tells clients
// where to go, and shares its load with the other gateways.
//
// It goes on with the newest configuration it has when the primary cannot be
// reached: a gateway that is cut off cannot tell that from a loss of all control
// nodes, and refusing would end the service in both cases. An acknowledgement
// waits until every gateway with a lease has the change in force or its lease
// has run out, so a gateway that is in touch is never behind.
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

// Options sets up a Gateway. All fields but Headers and Bounds are required.
type Options struct {
	// Info is what the primary and the other gateways learn of this one.
	Info        peer.GatewayInfo
	Seeds       []string
	LeaseConfig lease.Config
	// Network carries the messages; the gateway starts it and closes it.
	Network transport.Network
	// Headers name the headers of requests. Default DefaultHeaders.
	Headers Headers
	// Bounds are what all gateways together are granted. Default dispatch.Bounds.
	Bounds dispatch.Bounds
	Logger *slog.Logger
}

// Gateway is safe for concurrent use.
type Gateway struct {
	options Options
	agent   *agent.Agent
	proxy   *Proxy
	leaving atomic.Bool

	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New prepares a gateway and registers its message handlers.
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

// Start begins to follow the registry.
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

// Counts returns the totals of requests since the start.
func (g *Gateway) Counts() dispatch.Counts { return g.proxy.Counts() }

// Server returns a server for clients, ready to serve a listener.
func (g *Gateway) Server() *http.Server { return g.proxy.Server() }

// Status describes the gateway's lease and its copy of the registry.
func (g *Gateway) Status() agent.Status { return g.agent.Status() }

// Ready says whether clients should come here.
func (g *Gateway) Ready() bool { return g.proxy.Ready() && !g.leaving.Load() }

// Where returns the addresses of the gateways that a client of a region should
// use, at most limit. It is empty when none is known.
func (g *Gateway) Where(region string, limit int) []string {
	contents := g.agent.Active()
	if contents == nil {
		return nil
	}
	question := directory.Query{Region: region, Limit: limit, Node: g.options.Info.Name, Draining: g.leaving.Load()}
	question.Partitioned = !question.Draining && !g.agent.Valid()
	return question.Answer(contents.Gateways())
}

// Deregister takes the gateway out of the answers to clients and gives its lease up.
// Requests that still come are served.
func (g *Gateway) Deregister(ctx context.Context) {
	if g.leaving.Swap(true) {
		return
	}
	g.agent.ReleaseLease(ctx)
}

// Close ends everything but requests that are under way.
func (g *Gateway) Close() error {
	g.cancel()
	err := g.options.Network.Close()
	g.workers.Wait()
	return err
}
