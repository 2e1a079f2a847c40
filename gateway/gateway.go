// Package gateway implements the gateway for language models: it accepts requests of
// callers and runs them on replicas. Services that are routed by host and path are
// served by package httpgateway.
//
// A gateway places and sends requests only while it holds a lease from the primary, and
// only according to the active state of the registry. Package agent renews the lease and
// replicates the registry. A received state becomes active once the primary permits it
// or a replica reports that it has seen its configuration version.
//
// A request takes this path:
//
//   - A caller asks any gateway where to send a request and gets a ticket. The gateway
//     that issued the ticket owns the request: it starts one execution, which resends of
//     the request join. Repeatable requests need no ticket.
//   - The owner asks its Router for the regions to try. In its own region it reserves a
//     replica and sends the request to it. It offers the request to a gateway of another
//     region if the router puts that region first or its own has no capacity. A gateway
//     that grants an offer reserves a replica of its region and later runs the request.
//   - A runner makes the attempts and classifies each failure. A request that may have
//     run is sent again only if it is repeatable.
//
// A gateway also polls the replicas of its region for their health, reports changes of
// their condition to the primary, and sends its region's utilization to gateways of
// other regions.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/gateway/agent"
	"github.com/deckpulley/deckpulley/internal/bytebudget"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/ticket"
)

// Gateway is the state of one gateway process. It is safe for concurrent use.
type Gateway struct {
	options       Options
	log           *slog.Logger
	agent         *agent.Agent
	router        Router
	replicas      *replicaClient
	sealer        atomic.Pointer[ticket.Sealer]
	tickets       *ticketStore
	offers        *offerTable
	bodyBudget    *bytebudget.Budget
	registry      *prometheus.Registry
	metrics       *metrics
	offerSequence atomic.Uint64 // part of the ids of offers, which makes them unique
	draining      atomic.Bool
	// drainedAt is when Drain was called, in nanoseconds of Options.Clock.
	drainedAt   atomic.Int64
	failureLogs *rate.Limiter // limits the log messages about failed requests
	// runContext is canceled by Stop after its wait for active requests.
	runContext context.Context //nolint:containedctx // the lifetime of the gateway: requests and loops outlast the call that started them
	cancelRun  context.CancelCauseFunc
	activity   *activityCounter
	polling    *pollTracker
	// overflowWaiters limits the requests that wait in queues of other regions because
	// their own region cannot accept them.
	overflowWaiters *concurrencyLimit
	loops           sync.WaitGroup

	mutex            sync.Mutex
	random           *rand.Rand
	observedVersions map[string]uint64    // highest configuration version that replicas have seen, by service
	lastReported     map[string]time.Time // time of the last condition update, by replica
}

// New returns a gateway and registers its message handlers on the network. The gateway
// does nothing before Start.
func New(options Options) (*Gateway, error) {
	options.withDefaults()
	g := &Gateway{
		options:          options,
		log:              options.Logger,
		router:           options.Router,
		tickets:          newTicketStore(options.Clock),
		offers:           newOfferTable(),
		bodyBudget:       bytebudget.New(maxBodyBytesInFlight),
		activity:         newActivityCounter(),
		polling:          newPollTracker(),
		overflowWaiters:  &concurrencyLimit{limit: maxOverflowWaiters},
		failureLogs:      rate.NewLimiter(maxFailureLogsPerSecond, maxFailureLogsPerSecond),
		random:           rand.New(rand.NewPCG(options.Seed, 0x6761746577617921)),
		observedVersions: make(map[string]uint64),
		lastReported:     make(map[string]time.Time),
	}
	if err := g.SetTicketKeys(options.TicketKeys); err != nil {
		return nil, err
	}
	g.runContext, g.cancelRun = context.WithCancelCause(context.Background())
	g.replicas = newReplicaClient(g.dial)
	g.agent = agent.New(agent.Options{
		Gateway:     options.Info,
		Seeds:       options.Seeds,
		LeaseConfig: options.LeaseConfig,
		Network:     options.Network,
		Clock:       options.Clock,
		OnActivate:  g.applyState,
		Logger:      g.log,
	})
	g.newMetrics()
	options.Network.Handle(peer.KindIssueTicket, g.serveIssueTicket)
	options.Network.Handle(peer.KindOffer, g.serveOffer)
	options.Network.Handle(peer.KindWithdraw, g.serveWithdraw)
	options.Network.Handle(peer.KindRegionUtilization, g.serveUtilization)
	options.Network.HandleStream(peer.KindRun, g.serveRun)
	options.Network.HandleStream(peer.KindOwner, g.serveOwner)
	return g, nil
}

// SetTicketKeys replaces the keys that seal tickets, which all gateways of the fleet
// share. The newest key comes first.
func (g *Gateway) SetTicketKeys(keys [][]byte) error {
	sealer, err := ticket.NewSealer(keys)
	if err != nil {
		return err
	}
	g.sealer.Store(sealer)
	return nil
}

// Agent returns the agent, which renews the lease and replicates the registry.
func (g *Gateway) Agent() *agent.Agent { return g.agent }

// Start starts the network, the renewal of the lease and the background loops of the
// gateway. Stop ends the loops; the owner of the network closes it.
func (g *Gateway) Start() error {
	if err := g.options.Network.Start(); err != nil {
		return err
	}
	g.startLoop(g.agent.Run)
	g.startLoop(g.pollReplicas)
	g.startLoop(g.gossipUtilization)
	g.startLoop(g.expireState)
	if g.options.HTTPProxy != nil {
		g.startLoop(g.options.HTTPProxy.Run)
	}
	return nil
}

// startLoop runs a background loop in its own goroutine. Stop cancels its context and
// waits for it.
func (g *Gateway) startLoop(run func(context.Context)) {
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		run(g.runContext)
	}()
}

// applyState passes a newly activated state of the registry to the router and the HTTP
// proxy.
func (g *Gateway) applyState(state *catalog.State) {
	g.router.SetPlan(state)
	if g.options.HTTPProxy != nil {
		g.options.HTTPProxy.Update(state)
	}
	g.log.Info("registry state activated", "serial", state.Serial(), "version", state.Version())
}

func (g *Gateway) region() string { return g.options.Info.Region }

// dial opens a connection to a replica, at the address that DialOverrides gives for it if
// any.
func (g *Gateway) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if override, ok := g.options.DialOverrides[address]; ok {
		address = override
	}
	return g.options.Dial(ctx, network, address)
}

// streamIdleTimeout returns the longest allowed time between two events of a replica's
// stream, or 0 before the first activation.
func (g *Gateway) streamIdleTimeout() time.Duration {
	active := g.agent.Active()
	if active == nil {
		return 0
	}
	return time.Duration(active.Limits().StreamGapMS) * time.Millisecond
}
