// Package gateway carries callers' requests to replicas. A gateway acts only
// under a lease from the primary and by the active copy of the registry that
// its agent keeps; it places requests on replicas of its own region, hands
// overflow to gateways of other regions, remembers the tickets it issued, and
// watches the replicas that are its to watch.
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
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/ticket"
)

// Gateway is one gateway process. It is safe for concurrent use.
type Gateway struct {
	options       Options
	log           *slog.Logger
	agent         *agent.Agent
	router        Router
	replicas      *replicaClient
	sealer        atomic.Pointer[ticket.Sealer]
	tickets       *ticketStore
	reservations  *reservationTable
	bodyBudget    *byteBudget
	registry      *prometheus.Registry
	metrics       *metrics
	offerSequence atomic.Uint64 // makes offer ids unique
	draining      atomic.Bool
	// drainedAt is the time of Drain in nanoseconds of the clock.
	drainedAt   atomic.Int64
	failureLogs *rate.Limiter // of log lines about requests
	// runContext ends when the process stops waiting for requests.
	runContext context.Context //nolint:containedctx // the life of the gateway: runs and loops outlast the call that began them
	cancelRun  context.CancelCauseFunc
	active     *activity
	polling    *pollTracker
	// overflowWaiters counts the requests that wait in other regions' queues.
	overflowWaiters *concurrencyLimit
	loops           sync.WaitGroup

	mutex        sync.Mutex
	random       *rand.Rand
	seenVersions map[string]uint64 // newest configuration version that replicas of a service saw
	lastReported map[string]time.Time
}

// New returns a gateway that does nothing yet and registers its message handlers.
func New(options Options) (*Gateway, error) {
	options.withDefaults()
	g := &Gateway{
		options:         options,
		log:             options.Logger,
		router:          options.Router,
		tickets:         newTicketStore(),
		reservations:    newReservationTable(),
		bodyBudget:      newByteBudget(maxBodyBytesInFlight),
		active:          newActivity(),
		polling:         newPollTracker(),
		overflowWaiters: &concurrencyLimit{limit: maxOverflowWaiters},
		failureLogs:     rate.NewLimiter(maxFailureLogsPerSecond, maxFailureLogsPerSecond),
		random:          rand.New(rand.NewPCG(options.Seed, 0x6761746577617921)),
		seenVersions:    make(map[string]uint64),
		lastReported:    make(map[string]time.Time),
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
	options.Network.Handle(peer.KindOffer, g.serveReserve)
	options.Network.Handle(peer.KindWithdraw, g.serveCancel)
	options.Network.Handle(peer.KindRegionUtilization, g.serveUtilization)
	options.Network.HandleStream(peer.KindRun, g.serveRun)
	options.Network.HandleStream(peer.KindOwner, g.serveOwner)
	return g, nil
}

// SetTicketKeys replaces the fleet's keys for tickets, newest first.
func (g *Gateway) SetTicketKeys(keys [][]byte) error {
	sealer, err := ticket.NewSealer(keys)
	if err != nil {
		return err
	}
	g.sealer.Store(sealer)
	return nil
}

// Agent is the control side.
func (g *Gateway) Agent() *agent.Agent { return g.agent }

// Start begins to renew the lease, to watch and to answer peers.
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

func (g *Gateway) startLoop(run func(context.Context)) {
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		run(g.runContext)
	}()
}

func (g *Gateway) applyState(state *catalog.State) {
	g.router.SetPlan(state)
	if g.options.HTTPProxy != nil {
		g.options.HTTPProxy.Update(state)
	}
	g.log.Info("configuration copy active", "serial", state.Serial(), "version", state.Version())
}

func (g *Gateway) region() string { return g.options.Info.Region }

func (g *Gateway) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if override, ok := g.options.DialOverrides[address]; ok {
		address = override
	}
	return g.options.Dial(ctx, network, address)
}

func (g *Gateway) streamIdleTimeout() time.Duration {
	active := g.agent.Active()
	if active == nil {
		return 0
	}
	return time.Duration(active.Limits().StreamGapMS) * time.Millisecond
}
