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
	"github.com/deckpulley/deckpulley/internal/bytebudget"
	"github.com/deckpulley/deckpulley/loadexchange"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// ProxyOptions configure a Proxy. Info and Network are required.
type ProxyOptions struct {
	// Info describes the gateway. The Proxy uses its name, zone and region.
	Info peer.GatewayInfo
	// Network carries the load reports between gateways. The proxy neither starts
	// nor closes it.
	Network transport.Network
	// Headers names the headers of requests. The zero value selects DefaultHeaders.
	Headers Headers
	// Bounds are limits on all gateways together. A zero field selects its default.
	Bounds dispatch.Bounds
	// Logger defaults to slog.Default.
	Logger *slog.Logger
}

// Proxy is an http.Handler that forwards requests to replicas according to the routes of
// the registry, whose state it receives through Update. It is safe for concurrent use.
type Proxy struct {
	options      ProxyOptions
	dispatcher   *dispatch.Dispatcher
	backend      *backend
	loadExchange *loadexchange.Node
	// bodyBudget limits the memory for the bodies of requests.
	bodyBudget *bytebudget.Budget
	// state is the state of the registry from the last Update; nil before the first.
	state atomic.Pointer[catalog.State]
}

// NewProxy returns a Proxy and registers its message handlers. It rejects requests
// until the first Update.
func NewProxy(options ProxyOptions) *Proxy {
	if options.Headers == (Headers{}) {
		options.Headers = DefaultHeaders()
	}
	p := &Proxy{options: options, bodyBudget: bytebudget.New(maxBodyBytesInFlight)}
	p.backend = newBackend(options.Headers, func(address string, took time.Duration) { p.dispatcher.RecordConnect(address, took) })
	p.dispatcher = dispatch.New(dispatch.Options{
		Gateway:   options.Info.Name,
		Zone:      options.Info.Zone,
		Region:    options.Info.Region,
		Backend:   p.backend,
		Bounds:    options.Bounds,
		OnPlaced:  func(prompt peer.PlacedPrompt) { p.loadExchange.RecordPlacement(prompt) },
		OnPrefill: func(prompt peer.PrefillSample) { p.loadExchange.RecordPrefill(prompt) },
		Logger:    options.Logger,
	})
	p.loadExchange = p.newLoadExchange()
	options.Network.Handle(peer.KindReplicaLoads, p.handleReport)
	options.Network.Handle(peer.KindLoadDigest, p.handleDigest)
	return p
}

// Update sets the state of the registry that is used to forward requests from now on.
func (p *Proxy) Update(state *catalog.State) {
	p.state.Store(state)
	p.dispatcher.Update(state)
	p.loadExchange.SetGateways(gatewaysUp(state))
}

// Run exchanges loads with the other gateways and closes expired idle connections. It
// returns after ctx has ended.
func (p *Proxy) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { p.loadExchange.Run(ctx) })
	workers.Go(func() { p.backend.closeExpiredConnections(ctx) })
	workers.Wait()
}

// Ready reports whether the Proxy has received a configuration.
func (p *Proxy) Ready() bool { return p.dispatcher.Ready() }

// Counts returns the numbers of requests and attempts since the Proxy was created.
func (p *Proxy) Counts() dispatch.Counts { return p.dispatcher.Counts() }

// LoadExchangeStatus returns the status of the exchange of loads with other gateways.
func (p *Proxy) LoadExchangeStatus() loadexchange.Status { return p.loadExchange.Status() }

// Replicas returns the status of each replica from this gateway's point of view.
func (p *Proxy) Replicas() []api.HTTPReplicaStatus { return p.dispatcher.Replicas() }

// RetryBudgets returns the state of the retry budget of each service, by its name.
func (p *Proxy) RetryBudgets() map[string]dispatch.RetryBudget { return p.dispatcher.RetryBudgets() }

// Collector returns a Prometheus collector of the Proxy's metrics.
func (p *Proxy) Collector() prometheus.Collector { return newCollector(p) }
