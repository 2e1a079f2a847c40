// Package gateway carries callers' requests to replicas. A gateway acts only
// under a lease from the primary and by the active copy of the registry that
// its agent keeps; it places requests on replicas of its own region, hands
// overflow to gateways of other regions, remembers the tickets it issued, and
// watches the replicas that are its to watch.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/gateway/agent"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routing"
	"github.com/deckpulley/deckpulley/ticket"
	"github.com/deckpulley/deckpulley/transport"
)

// Router decides where requests run; *routing.Router is the real one.
type Router interface {
	SetPlan(*routing.Plan)
	Observe(replica string, report api.ReplicaReport, at time.Time)
	RecordPollFailure(replica string, at time.Time)
	Suspect(replica, incarnation string, at time.Time) bool
	Resolve(api.GenerateRequest, time.Time) (routing.Request, *api.Error)
	Regions(routing.Request) []string
	Rejection(routing.Request) *api.Error
	Acquire(context.Context, routing.Request) (*routing.Reservation, *api.Error)
	Reserve(routing.Request) (*routing.Reservation, *api.Error)
	AllowRetry() bool
	RecordAttempt()
	Conditions(time.Time) []routing.ConditionChange
	Watched() []string
	WarmupGateways(service string) []string
	Status() routing.Status
	Load() map[string]float64
	SetRemoteLoad(region string, load map[string]float64, at time.Time)
}

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

const (
	// honorPause is the time between two looks at the tickets while leaving.
	honorPause = 20 * time.Millisecond
	// failureLinesPerSecond bounds the log lines about requests that went wrong.
	failureLinesPerSecond = 5
)

// Defaults of Options.
const (
	defaultPollInterval   = 500 * time.Millisecond
	defaultPollTimeout    = time.Second
	defaultMaxConnections = 1024
	defaultStopTimeout    = 20 * time.Second
	defaultHonorTickets   = 2 * time.Second
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
		o.ShutdownTimeout = defaultStopTimeout
	}
	if o.TicketGracePeriod == 0 {
		o.TicketGracePeriod = defaultHonorTickets
	}
}

// Gateway is one gateway process. It is safe for concurrent use.
type Gateway struct {
	options  Options
	log      *slog.Logger
	agent    *agent.Agent
	router   Router
	replicas *replicaClient
	sealer   atomic.Pointer[ticket.Sealer]
	owner    *owner
	offers   *offerBook
	bodies   *byteBudget
	registry *prometheus.Registry
	metrics  *metrics
	counter  atomic.Uint64 // makes offer ids unique
	draining atomic.Bool
	// drainedAt is the time of Drain in nanoseconds of the clock.
	drainedAt atomic.Int64
	failures  *rate.Limiter // of log lines about requests
	// work ends when the process stops waiting for requests.
	work     context.Context //nolint:containedctx // the life of the gateway: runs and loops outlast the call that began them
	stopWork context.CancelCauseFunc
	running  *activity
	polling  *inProgress
	// displaced counts the requests that wait in other regions' queues.
	displaced *bound
	loops     sync.WaitGroup

	mutex    sync.Mutex
	random   *rand.Rand
	seen     map[string]uint64 // newest configuration version that replicas of a service saw
	reported map[string]time.Time
}

// New returns a gateway that does nothing yet and registers its message handlers.
func New(options Options) (*Gateway, error) {
	options.withDefaults()
	g := &Gateway{
		options:   options,
		log:       options.Logger,
		router:    options.Router,
		owner:     newOwner(),
		offers:    newOfferBook(),
		bodies:    newByteBudget(maxBodyBytesInFlight),
		running:   newActivity(),
		polling:   newInProgress(),
		displaced: &bound{most: maxDisplaced},
		failures:  rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond),
		random:    rand.New(rand.NewPCG(options.Seed, 0x6761746577617921)),
		seen:      make(map[string]uint64),
		reported:  make(map[string]time.Time),
	}
	if err := g.SetTicketKeys(options.TicketKeys); err != nil {
		return nil, err
	}
	g.work, g.stopWork = context.WithCancelCause(context.Background())
	g.replicas = newReplicaClient(g.dial)
	g.agent = agent.New(agent.Options{
		Gateway:     options.Info,
		Seeds:       options.Seeds,
		LeaseConfig: options.LeaseConfig,
		Network:     options.Network,
		Clock:       options.Clock,
		OnActivate:  g.activated,
		Logger:      g.log,
	})
	g.newMetrics()
	options.Network.Handle(peer.KindIssueTicket, g.serveMint)
	options.Network.Handle(peer.KindOffer, g.serveOffer)
	options.Network.Handle(peer.KindWithdraw, g.serveWithdraw)
	options.Network.Handle(peer.KindRegionUtilization, g.serveLoad)
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
	g.loop(g.agent.Run)
	g.loop(g.watch)
	g.loop(g.gossip)
	g.loop(g.housekeep)
	if g.options.HTTPProxy != nil {
		g.loop(g.options.HTTPProxy.Run)
	}
	return nil
}

func (g *Gateway) loop(run func(context.Context)) {
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		run(g.work)
	}()
}

// Drain takes nothing new from now on, except what comes with a ticket that was
// issued before, for a short time.
func (g *Gateway) Drain() {
	g.drainedAt.Store(int64(g.options.Clock()))
	g.draining.Store(true)
}

// honors tells that a leaving gateway still takes requests with its tickets.
func (g *Gateway) honors() bool {
	return g.options.Clock()-time.Duration(g.drainedAt.Load()) < g.options.TicketGracePeriod
}

// awaitTickets waits until every issued ticket is used or no longer honored.
func (g *Gateway) awaitTickets(ctx context.Context) {
	for g.honors() && g.unusedTickets() > 0 {
		if !sleep(ctx, honorPause) {
			return
		}
	}
}

// Stop drains, lets what runs finish for a bounded time, gives the lease up and
// ends everything. The context ends the waiting early.
func (g *Gateway) Stop(ctx context.Context) {
	g.Drain()
	waiting, cancel := context.WithTimeout(ctx, g.options.ShutdownTimeout)
	defer cancel()
	g.awaitTickets(waiting)
	if !g.running.idle(waiting) {
		g.log.Warn("requests are cut off", "requests", g.running.count())
	}
	g.agent.ReleaseLease(context.WithoutCancel(ctx))
	g.stopWork(errStopping)
	g.loops.Wait()
	g.running.idle(context.WithoutCancel(ctx))
	g.replicas.close()
}

func (g *Gateway) region() string { return g.options.Info.Region }

func (g *Gateway) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if override, ok := g.options.DialOverrides[address]; ok {
		address = override
	}
	return g.options.Dial(ctx, network, address)
}

func (g *Gateway) activated(contents *catalog.State) {
	g.router.SetPlan(contents)
	if g.options.HTTPProxy != nil {
		g.options.HTTPProxy.Update(contents)
	}
	g.log.Info("configuration copy active", "serial", contents.Serial(), "version", contents.Version())
}

// mayAccept is why the gateway may not take anything new; nil if it may.
func (g *Gateway) mayAccept() *api.Error {
	if g.draining.Load() {
		return refusedLater(api.CodeNotReady, "the gateway is leaving")
	}
	return g.mayPlace()
}

// mayPlace is why the gateway may not place a request now; nil if it may.
func (g *Gateway) mayPlace() *api.Error {
	if !g.agent.Valid() {
		return refusedLater(api.CodeNoLease, "the gateway has no lease from the primary")
	}
	if g.agent.Active() == nil {
		return refusedLater(api.CodeNotReady, "the gateway has no copy of the registry yet")
	}
	return nil
}

// Reasons to hold back the first byte to a replica.
var (
	errLeaseLost   = errors.New("the lease ran out before the request was sent")
	errPlanChanged = errors.New("the placement was decided by a copy that is no longer active")
)

// maySend is asked immediately before the first byte goes to a replica, whose
// stamp names the version.
func (g *Gateway) maySend(slot *routing.Reservation, version uint64) error {
	if !slot.Usable(time.Now()) || slot.Version != version {
		return errPlanChanged
	}
	active := g.agent.Active()
	if active == nil || active.Version() != version {
		return errPlanChanged
	}
	if !g.agent.Valid() {
		return errLeaseLost
	}
	return nil
}

// seenVersion is the newest configuration that replicas of a service have seen.
func (g *Gateway) seenVersion(service string) uint64 {
	if planted.Active(planted.KeepOldConfiguration) {
		return 0
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.seen[service]
}

func (g *Gateway) noteVersion(service string, version uint64) {
	g.mutex.Lock()
	newer := version > g.seen[service]
	if newer {
		g.seen[service] = version
	}
	g.mutex.Unlock()
	if newer {
		g.agent.ConfirmVersion(version)
	}
}

func (g *Gateway) noteReport(service string, report *api.ReplicaReport) {
	if report != nil {
		g.noteVersion(service, report.ConfigurationVersion)
	}
}

// learnVersion asks a replica that refused a stale configuration which one it
// has seen. It reports false if the time is over.
func (g *Gateway) learnVersion(ctx context.Context, service string, slot *routing.Reservation) bool {
	changed := g.agent.Changed()
	asking, cancel := context.WithTimeout(ctx, staleWait)
	defer cancel()
	report, err := g.replicas.report(asking, slot.Address)
	if err == nil {
		g.noteVersion(service, report.ConfigurationVersion)
		return ctx.Err() == nil
	}
	select {
	case <-changed:
	case <-asking.Done():
	}
	return ctx.Err() == nil
}

func (g *Gateway) streamGap() time.Duration {
	active := g.agent.Active()
	if active == nil {
		return 0
	}
	return time.Duration(active.Limits().StreamGapMS) * time.Millisecond
}

// jitter is a random time up to the longest.
func (g *Gateway) jitter(longest time.Duration) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return time.Duration(g.random.Int64N(int64(longest) + 1))
}

// isolate runs a deadline-bound request apart from its caller's connection; it
// ends with the last reader, the deadline or the process.
func (g *Gateway) isolate(deadline time.Time) (context.Context, context.CancelCauseFunc) {
	withDeadline, release := context.WithDeadline(g.work, deadline)
	ctx, cancel := context.WithCancelCause(withDeadline)
	return ctx, func(cause error) {
		cancel(cause)
		release()
	}
}
