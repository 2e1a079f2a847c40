// Package agent implements the gateway's client of the control plane: it renews the
// gateway's lease, replicates the registry and activates each registry serial that
// the primary has approved for activation. It serves no inference requests, so many
// agents can run in one process to measure the control plane alone.
package agent

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// Options configures an Agent.
type Options struct {
	// Gateway identifies and describes the gateway in its renewals.
	Gateway peer.GatewayInfo
	// Seeds lists the peer addresses of the control nodes or gateways to contact first.
	Seeds []string
	// LeaseConfig is the lease configuration; it must be the same on all nodes.
	LeaseConfig lease.Config
	// Network carries the messages. New registers handlers on it; the caller starts
	// and closes it.
	Network transport.Network
	// Clock returns the monotonic time elapsed since an arbitrary start.
	Clock func() time.Duration
	// OnActivate is called with each state, in serial order, just before the state
	// becomes active. It must not call the agent, because the agent's mutex is held. It
	// may be nil.
	OnActivate func(*catalog.State)
	Logger     *slog.Logger
}

// Agent maintains a gateway's lease and its replica of the registry. It is safe for
// concurrent use. Valid, Remaining and Active do not lock.
type Agent struct {
	options Options
	logger  *slog.Logger
	// wake interrupts the wait of Run, so that it renews immediately.
	wake chan struct{}
	// seedsChanged interrupts the wait of runSearch.
	seedsChanged chan struct{}
	// leaseExpiry is the clock reading, in nanoseconds, at which the lease expires.
	leaseExpiry      atomic.Int64
	active           atomic.Pointer[catalog.State]
	grantedRenewals  atomic.Uint64
	rejectedRenewals atomic.Uint64
	fetches          counts[FetchResult]
	source           *stateSource
	renewalFailures  counts[RenewalFailure]

	mutex        sync.Mutex
	controlNodes *controlNodes
	// renewalAddress is the address of the node called by the renewal in progress,
	// empty if no renewal is in progress; cancelRenewal cancels that call.
	renewalAddress string
	cancelRenewal  context.CancelFunc
	holder         *lease.Holder
	// consecutiveFailures counts, for each address, the failed renewals since its last
	// response.
	consecutiveFailures map[string]int
	// lastGrant is the time of the last granted renewal, or that of New. searching is true
	// while no renewal was granted for searchAfter.
	lastGrant time.Duration
	searching bool
	// lastFailure is the reason why the last renewal that was not granted failed, and
	// lastFailureAddress the node that it was sent to.
	lastFailure        RenewalFailure
	lastFailureAddress string
	// newestHeard is the newest active serial that another gateway has reported, and
	// behindSince the time since which it is newer than the active one; 0 if it is not.
	newestHeard uint32
	// otherRegionContact is the time at which a gateway of another region last answered a
	// search; 0 if none did.
	otherRegionContact time.Duration
	behindSince        time.Duration
	witnessVote        witnessVote
	// leaseTerm is the term of the primary that granted the latest lease.
	leaseTerm uint64
	table     *registry.Table
	// newest is the state read from the table's latest serial; nil while the table is
	// empty.
	newest *catalog.State
	// pending lists the received states that are newer than the active one, oldest
	// first.
	pending []*catalog.State
	// activated is closed and replaced at each activation.
	activated chan struct{}
}

// New returns an agent without a lease and registers its message handlers.
func New(options Options) *Agent {
	a := &Agent{
		options:      options,
		logger:       options.Logger,
		wake:         make(chan struct{}, 1),
		seedsChanged: make(chan struct{}, 1),
		controlNodes: newControlNodes(options.Seeds, options.Gateway.Name),
		holder:       lease.NewHolder(options.LeaseConfig),
		table:        registry.NewSecondary(catalog.Apex, catalog.Schema()),
		activated:    make(chan struct{}),
		lastGrant:    options.Clock(),

		source:              newStateSource(options.Logger),
		fetches:             newCounts(FetchResults()),
		renewalFailures:     newCounts(RenewalFailures()),
		consecutiveFailures: make(map[string]int),
	}
	options.Network.Handle(peer.KindNotify, a.serveNotify)
	options.Network.Handle(peer.KindRenew, a.serveRenew)
	options.Network.Handle(peer.KindHello, a.serveHello)
	options.Network.Handle(peer.KindJoin, a.serveJoin)
	options.Network.Handle(peer.KindFetchState, a.serveFetchState)
	options.Network.Handle(peer.KindWhere, a.serveWhere)
	options.Network.Handle(peer.KindWitnessVote, a.serveWitnessVote)
	return a
}

// Valid reports whether the gateway holds a valid lease. Without one it must not
// act on the active state.
func (a *Agent) Valid() bool {
	if planted.Active(planted.IgnoreLease) || planted.Active(planted.KeepOldConfiguration) {
		return true
	}
	return a.options.Clock() < time.Duration(a.leaseExpiry.Load())
}

// Remaining returns the time until the lease expires, 0 if there is no valid lease.
func (a *Agent) Remaining() time.Duration {
	return max(0, time.Duration(a.leaseExpiry.Load())-a.options.Clock())
}

// Partitioned reports whether this gateway may be partitioned together with its region: it
// has no lease, and no gateway of another region has answered lately.
func (a *Agent) Partitioned() bool {
	if a.Valid() {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.otherRegionContact == 0 || a.options.Clock()-a.otherRegionContact > otherRegionTimeout
}

// Active returns the active state; nil before the first activation.
func (a *Agent) Active() *catalog.State { return a.active.Load() }

// Status is a snapshot of the state of an Agent.
type Status struct {
	Cluster          string
	Primary          string // peer address of the primary, empty if unknown
	Term             uint64 // newest term observed
	ReceivedSerial   uint32 // 0 if nothing has been received
	ActiveSerial     uint32 // 0 before the first activation
	ActiveVersion    uint64 // configuration version of the active state
	LeaseRemaining   time.Duration
	GrantedRenewals  uint64
	RejectedRenewals uint64 // not granted, failed, or granted by a message that was ignored
	// RenewalFailures counts the renewals that were not granted, by reason.
	RenewalFailures map[RenewalFailure]uint64
	// SinceGrant is the time since the last granted renewal, or since the start if none
	// was granted.
	SinceGrant time.Duration
	// NewestHeardSerial is the newest active serial that another gateway has reported;
	// 0 if none.
	NewestHeardSerial uint32
	// Fetches counts the requests to other gateways for their state, by result.
	Fetches map[FetchResult]uint64
}

// Status returns the current status.
func (a *Agent) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := Status{
		Cluster:          a.holder.Cluster(),
		Primary:          a.controlNodes.primary,
		Term:             a.holder.Term(),
		ReceivedSerial:   a.receivedSerialLocked(),
		LeaseRemaining:   a.Remaining(),
		GrantedRenewals:  a.grantedRenewals.Load(),
		RejectedRenewals: a.rejectedRenewals.Load(),
		RenewalFailures:  a.renewalFailures.snapshot(),
		SinceGrant:       a.options.Clock() - a.lastGrant,

		NewestHeardSerial: a.newestHeard,
		Fetches:           a.fetches.snapshot(),
	}
	if active := a.active.Load(); active != nil {
		status.ActiveSerial = active.Serial()
		status.ActiveVersion = active.Version()
	}
	return status
}

// ControlAddresses lists the peer addresses of the known control nodes, without
// duplicates: the primary, the members as last reported, then the seeds.
func (a *Agent) ControlAddresses() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controlNodes.addresses()
}

// triggerRenewal makes Run renew immediately.
func (a *Agent) triggerRenewal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
