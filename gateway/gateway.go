// Package gateway serves callers' requests and forwards them to replicas.
//
// A gateway acts only while it holds a lease from the primary, and only by the active
// copy of the registry that its agent replicates. It places requests on replicas of
// its own region, forwards overflow to gateways of other regions, remembers the
// tickets that it issued, and checks the health of the replicas of its region.
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
	offerSequence atomic.Uint64 // makes the ids of offers unique
	draining      atomic.Bool
	// drainedAt is the time of Drain on the gateway's clock, in nanoseconds.
	drainedAt   atomic.Int64
	failureLogs *rate.Limiter // limits the log lines about failed requests
	// runContext ends when Stop no longer waits for requests.
	runContext context.Context //nolint:containedctx // the lifetime of the gateway: requests and loops outlast the call that started them
	cancelRun  context.CancelCauseFunc
	active     *activity
	polling    *pollTracker
	// overflowWaiters bounds the requests that wait in queues of other regions.
	overflowWaiters *concurrencyLimit
	loops           sync.WaitGroup

	mutex            sync.Mutex
	random           *rand.Rand
	observedVersions map[string]uint64 // by service: the highest configuration version that its replicas have seen
	lastReported     map[string]time.Time
}

// New returns a gateway that is not started and registers its message handlers.
func New(options Options) (*Gateway, error) {
	options.withDefaults()
	g := &Gateway{
		options:          options,
		log:              options.Logger,
		router:           options.Router,
		tickets:          newTicketStore(options.Clock),
		reservations:     newReservationTable(),
		bodyBudget:       newByteBudget(maxBodyBytesInFlight),
		active:           newActivity(),
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

// Agent returns the gateway's connection to the control plane.
func (g *Gateway) Agent() *agent.Agent { return g.agent }

// Start starts the network, the renewal of the lease and the background loops of the
// gateway. Stop ends them.
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

// startLoop runs a background loop until Stop, which waits for it.
func (g *Gateway) startLoop(run func(context.Context)) {
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		run(g.runContext)
	}()
}

// applyState makes a newly activated state of the catalog decide.
func (g *Gateway) applyState(state *catalog.State) {
	g.router.SetPlan(state)
	if g.options.HTTPProxy != nil {
		g.options.HTTPProxy.Update(state)
	}
	g.log.Info("configuration activated", "serial", state.Serial(), "version", state.Version())
}

func (g *Gateway) region() string { return g.options.Info.Region }

// dial opens a connection to a replica, whose address may be overridden.
func (g *Gateway) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if override, ok := g.options.DialOverrides[address]; ok {
		address = override
	}
	return g.options.Dial(ctx, network, address)
}

// streamIdleTimeout is the longest time between two events of a replica's stream; 0
// without an active configuration.
func (g *Gateway) streamIdleTimeout() time.Duration {
	active := g.agent.Active()
	if active == nil {
		return 0
	}
	return time.Duration(active.Limits().StreamGapMS) * time.Millisecond
}
