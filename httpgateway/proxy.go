package httpgateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/loadexchange"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// ProxyOptions sets up a Proxy.
type ProxyOptions struct {
	// Info names the gateway and its place.
	Info peer.GatewayInfo
	// Network carries the load reports between gateways. The proxy neither starts
	// nor closes it.
	Network transport.Network
	// Headers name the headers of requests. Default DefaultHeaders.
	Headers Headers
	// Bounds are what all gateways together are granted. Default dispatch.Bounds.
	Bounds dispatch.Bounds
	Logger *slog.Logger
}

// Proxy carries HTTP requests to replicas by the registry's map of routes. What
// it goes by comes in through Update; it implements http.Handler.
type Proxy struct {
	options    ProxyOptions
	dispatcher *dispatch.Dispatcher
	backend    *backend
	contents   atomic.Pointer[catalog.State]
	exchange   *loadexchange.Node
}

// NewProxy returns a proxy that refuses requests until the first Update.
func NewProxy(options ProxyOptions) *Proxy {
	if options.Headers == (Headers{}) {
		options.Headers = DefaultHeaders()
	}
	p := &Proxy{options: options}
	p.backend = newBackend(options.Headers, func(address string, took time.Duration) { p.dispatcher.RecordConnect(address, took) })
	p.dispatcher = dispatch.New(dispatch.Options{
		Gateway:   options.Info.Name,
		Zone:      options.Info.Zone,
		Region:    options.Info.Region,
		Backend:   p.backend,
		Bounds:    options.Bounds,
		OnPlaced:  func(prompt peer.PlacedPrompt) { p.exchange.RecordPlacement(prompt) },
		OnPrefill: func(prompt peer.PrefillSample) { p.exchange.RecordPrefill(prompt) },
		Logger:    options.Logger,
	})
	p.exchange = p.newExchange()
	options.Network.Handle(peer.KindReplicaLoads, p.serveReport)
	options.Network.Handle(peer.KindLoadDigest, p.serveDigest)
	return p
}

// Update makes a newer reading of the registry decide.
func (p *Proxy) Update(contents *catalog.State) {
	p.contents.Store(contents)
	p.dispatcher.Update(contents)
	p.exchange.SetGateways(gatewaysUp(contents))
}

// Run tells other gateways of the load and closes idle connections until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { p.exchange.Run(ctx) })
	workers.Go(func() { p.backend.reap(ctx) })
	workers.Wait()
}

// Ready says whether a configuration is known.
func (p *Proxy) Ready() bool { return p.dispatcher.Ready() }

// Counts returns the totals since the start.
func (p *Proxy) Counts() dispatch.Counts { return p.dispatcher.Counts() }

// LoadExchangeStatus returns the gateway's part in the exchange of loads.
func (p *Proxy) LoadExchangeStatus() loadexchange.Status { return p.exchange.Status() }

// Replicas returns what this gateway holds of every replica.
func (p *Proxy) Replicas() []api.HTTPReplicaStatus { return p.dispatcher.Replicas() }

// Collector gives the proxy's figures out as metrics.
func (p *Proxy) Collector() prometheus.Collector { return newCollector(p) }
