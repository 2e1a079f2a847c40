// Package agent implements the control side of a gateway: it renews the
// gateway's lease, replicates the registry and activates the serials that the
// primary releases. It serves no requests, so that many agents can run in one
// process to measure the control plane alone.
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
	// Gateway describes the gateway to the primary.
	Gateway peer.GatewayInfo
	// Seeds lists the peer addresses that are contacted first.
	Seeds []string
	// LeaseConfig is the lease configuration, the same on all nodes.
	LeaseConfig lease.Config
	// Network carries the messages. New registers handlers on it; the caller starts
	// and closes it.
	Network transport.Network
	// Clock returns a monotonic time since an arbitrary start.
	Clock func() time.Duration
	// OnActivate is called, in order, with every state before it becomes active. It
	// must not call the agent, whose mutex is held. Nil is allowed.
	OnActivate func(*catalog.State)
	Logger     *slog.Logger
}

// Agent holds a lease and a replica of the registry. It is safe for concurrent
// use. Valid, Remaining and Active take no lock.
type Agent struct {
	options Options
	logger  *slog.Logger
	// wake makes Run renew at once.
	wake chan struct{}
	// leaseExpiry is the end of the lease, in nanoseconds of the clock.
	leaseExpiry      atomic.Int64
	active           atomic.Pointer[catalog.State]
	grantedRenewals  atomic.Uint64
	rejectedRenewals atomic.Uint64

	mutex   sync.Mutex
	control *controlNodes
	// renewalAddress is the node that the renewal in progress waits for, empty if
	// there is none; cancelRenewal ends that wait.
	renewalAddress string
	cancelRenewal  context.CancelFunc
	holder         *lease.Holder
	// consecutiveFailures counts the failed renewals since the last response, by
	// address.
	consecutiveFailures map[string]int
	// leaseTerm is the term of the latest lease.
	leaseTerm uint64
	table     *registry.Table
	// newest is the state of the table, nil if nothing has been received.
	newest *catalog.State
	// pending holds the received states that are newer than the active one, oldest
	// first.
	pending []*catalog.State
	changed chan struct{} // closed and replaced at each activation
}

// New returns an agent without a lease and registers its message handlers.
func New(options Options) *Agent {
	a := &Agent{
		options: options,
		logger:  options.Logger,
		wake:    make(chan struct{}, 1),
		control: newControlNodes(options.Seeds, options.Gateway.Name),
		holder:  lease.NewHolder(options.LeaseConfig),
		table:   registry.NewSecondary(catalog.Apex, catalog.Schema()),
		changed: make(chan struct{}),

		consecutiveFailures: make(map[string]int),
	}
	options.Network.Handle(peer.KindNotify, a.serveNotify)
	options.Network.Handle(peer.KindRenew, a.serveRenew)
	options.Network.Handle(peer.KindHello, a.serveHello)
	options.Network.Handle(peer.KindJoin, a.serveJoin)
	return a
}

// Valid reports whether the lease is valid, so that the gateway may act.
func (a *Agent) Valid() bool {
	if planted.Active(planted.IgnoreLease) || planted.Active(planted.KeepOldConfiguration) {
		return true
	}
	return a.options.Clock() < time.Duration(a.leaseExpiry.Load())
}

// Remaining returns the time until the lease expires, 0 if it has expired.
func (a *Agent) Remaining() time.Duration {
	return max(0, time.Duration(a.leaseExpiry.Load())-a.options.Clock())
}

// Active returns the active state, nil before the first activation.
func (a *Agent) Active() *catalog.State { return a.active.Load() }

// Status is a snapshot of an Agent.
type Status struct {
	Cluster          string
	Primary          string // peer address, empty if unknown
	Term             uint64
	ReceivedSerial   uint32
	ActiveSerial     uint32
	ActiveVersion    uint64
	LeaseRemaining   time.Duration
	GrantedRenewals  uint64
	RejectedRenewals uint64 // rejected, failed, or with a grant that was dropped
}

// Status returns the present status.
func (a *Agent) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := Status{
		Cluster:          a.holder.Cluster(),
		Primary:          a.control.primary,
		Term:             a.holder.Term(),
		ReceivedSerial:   a.receivedSerialLocked(),
		LeaseRemaining:   a.Remaining(),
		GrantedRenewals:  a.grantedRenewals.Load(),
		RejectedRenewals: a.rejectedRenewals.Load(),
	}
	if active := a.active.Load(); active != nil {
		status.ActiveSerial = active.Serial()
		status.ActiveVersion = active.Version()
	}
	return status
}

// ControlAddresses lists the peer addresses of the known control nodes: the
// primary, the members as last reported, the seeds.
func (a *Agent) ControlAddresses() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.control.addresses()
}

// triggerRenewal makes Run renew at once.
func (a *Agent) triggerRenewal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
