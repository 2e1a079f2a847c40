// Package agent is the control side of a gateway: its lease, its copy of the
// registry and the one serial of it that decides. It carries no request, so that
// many of them can run in one process to measure the control plane alone.
package agent

import (
	"context"
	"errors"
	"fmt"
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

// Options sets up an Agent.
type Options struct {
	// Gateway is what the agent tells the primary of its gateway.
	Gateway peer.GatewayInfo
	// Seeds are the peers' addresses of the first contact.
	Seeds []string
	// LeaseConfig are the fleet's lease terms.
	LeaseConfig lease.Config
	// Network carries the messages. New registers its handlers; the owner starts it.
	Network transport.Network
	// Clock is monotonic and starts anywhere.
	Clock func() time.Duration
	// OnActivate is called, in order, for every contents that begins to decide.
	OnActivate func(*catalog.State)
	Logger     *slog.Logger
}

// Agent keeps a lease and a copy of the registry. It is safe for concurrent use.
type Agent struct {
	options Options
	log     *slog.Logger
	// wake asks the loop to renew at once.
	wake chan struct{}
	// validUntil is the end of the lease in nanoseconds of the clock.
	validUntil atomic.Int64
	active     atomic.Pointer[catalog.State]
	renewals   atomic.Uint64
	refusals   atomic.Uint64

	mutex    sync.Mutex
	contacts *contacts
	// asking is the node that a renewal waits for; stopAsking ends that wait.
	asking     string
	stopAsking context.CancelFunc
	holder     *lease.Holder
	// unanswered counts the renewals in a row that a node did not answer, by address.
	unanswered map[string]int
	// leaseTerm is the term of the newest lease.
	leaseTerm uint64
	table     *registry.Table
	newest    *catalog.State
	// pending are copies newer than the active one, oldest first.
	pending []*catalog.State
	changed chan struct{} // closed and replaced at each activation
}

// maxPending bounds the copies that wait for activation.
const maxPending = 64

// ErrNotActive means that a version did not become active in time.
var ErrNotActive = errors.New("agent: version is not active")

// New returns an agent without a lease and registers its message handlers.
func New(options Options) *Agent {
	a := &Agent{
		options:  options,
		log:      options.Logger,
		wake:     make(chan struct{}, 1),
		contacts: newContacts(options.Seeds, options.Gateway.Name),
		holder:   lease.NewHolder(options.LeaseConfig),
		table:    registry.NewSecondary(catalog.Apex, catalog.Schema()),
		changed:  make(chan struct{}),

		unanswered: make(map[string]int),
	}
	options.Network.Handle(peer.KindNotify, a.serveNotify)
	options.Network.Handle(peer.KindRenew, a.serveRenew)
	options.Network.Handle(peer.KindHello, a.serveHello)
	options.Network.Handle(peer.KindJoin, a.serveJoin)
	return a
}

// Valid tells whether the gateway may act now.
func (a *Agent) Valid() bool {
	if planted.Active(planted.IgnoreLease) || planted.Active(planted.KeepOldConfiguration) {
		return true
	}
	return a.options.Clock() < time.Duration(a.validUntil.Load())
}

// Remaining is the time left of the lease.
func (a *Agent) Remaining() time.Duration {
	return max(0, time.Duration(a.validUntil.Load())-a.options.Clock())
}

// Active is the contents that decides, nil before the first activation.
func (a *Agent) Active() *catalog.State { return a.active.Load() }

// Status describes an agent.
type Status struct {
	Cluster          string
	Primary          string // peers' address, empty if unknown
	Term             uint64
	ReceivedSerial   uint32
	ActiveSerial     uint32
	ActiveVersion    uint64
	LeaseRemaining   time.Duration
	GrantedRenewals  uint64 // granted
	RejectedRenewals uint64 // renewals without a grant
}

// Status returns a reading of the agent.
func (a *Agent) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := Status{
		Cluster:          a.holder.Cluster(),
		Primary:          a.contacts.primary,
		Term:             a.holder.Term(),
		ReceivedSerial:   a.heldLocked(),
		LeaseRemaining:   a.Remaining(),
		GrantedRenewals:  a.renewals.Load(),
		RejectedRenewals: a.refusals.Load(),
	}
	if active := a.active.Load(); active != nil {
		status.ActiveSerial = active.Serial()
		status.ActiveVersion = active.Version()
	}
	return status
}

// ControlAddresses lists the peers' addresses of the control nodes as last told.
func (a *Agent) ControlAddresses() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.contacts.control()
}

func (a *Agent) heldLocked() uint32 {
	if a.newest == nil {
		return 0
	}
	return a.newest.Serial()
}

// take brings the copy up to date. It reports whether there is a new serial.
func (a *Agent) take(transfer registry.Transfer) (bool, error) {
	before := a.table.Serial()
	if err := a.table.ApplyTransfer(transfer); err != nil {
		a.forgetCopy()
		return false, fmt.Errorf("agent: applying a transfer: %w", err)
	}
	view := a.table.View()
	if view.Serial() == before {
		return false, nil
	}
	contents, err := a.read(view, transfer)
	if err != nil {
		a.forgetCopy()
		return false, fmt.Errorf("agent: reading serial %d: %w", view.Serial(), err)
	}
	a.newest = contents
	a.pending = append(a.pending, contents)
	if len(a.pending) > maxPending {
		// The oldest and the newest matter most; any one between may go.
		middle := len(a.pending) / 2
		a.pending = append(a.pending[:middle], a.pending[middle+1:]...)
	}
	return true, nil
}

func (a *Agent) read(view registry.View, transfer registry.Transfer) (*catalog.State, error) {
	if a.newest == nil {
		return catalog.Read(view)
	}
	return a.newest.Next(view, transfer)
}

// forgetCopy makes the next renewal ask for a full transfer. What is active
// stays so.
func (a *Agent) forgetCopy() {
	a.table = registry.NewSecondary(catalog.Apex, catalog.Schema())
	a.newest = nil
}

// activate makes the newest copy up to the limit decide.
func (a *Agent) activate(limit uint32) bool {
	chosen := -1
	for i, candidate := range a.pending {
		if !registry.SerialLess(limit, candidate.Serial()) {
			chosen = i
		}
	}
	return a.activatePending(chosen)
}

// activatePending makes one of the pending copies decide, unless it is older
// than the active one.
func (a *Agent) activatePending(chosen int) bool {
	if chosen < 0 {
		return false
	}
	contents := a.pending[chosen]
	a.pending = append(a.pending[:0:0], a.pending[chosen+1:]...)
	active := a.active.Load()
	if active != nil && !registry.SerialLess(active.Serial(), contents.Serial()) {
		return false
	}
	if a.options.OnActivate != nil {
		a.options.OnActivate(contents)
	}
	a.active.Store(contents)
	close(a.changed)
	a.changed = make(chan struct{})
	a.log.Debug("activated", "serial", contents.Serial(), "version", contents.Version())
	return true
}

// ConfirmVersion tells that a replica has seen a configuration version. It has been
// active somewhere, so a held copy of it may become active here at once. It
// reports whether the active version is at least that one.
func (a *Agent) ConfirmVersion(version uint64) bool {
	if active := a.active.Load(); active != nil && active.Version() >= version {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, candidate := range a.pending {
		if candidate.Version() == version {
			a.activatePending(i)
			a.renewSoon()
			break
		}
	}
	active := a.active.Load()
	caughtUp := active != nil && active.Version() >= version
	if !caughtUp {
		a.renewSoon()
	}
	return caughtUp
}

// AwaitVersion waits until a configuration version is active. The error is
// ErrNotActive.
func (a *Agent) AwaitVersion(ctx context.Context, version uint64) error {
	for {
		a.mutex.Lock()
		changed := a.changed
		a.mutex.Unlock()
		if a.ConfirmVersion(version) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNotActive
		case <-changed:
		}
	}
}

// Changed returns a channel that is closed at the next activation.
func (a *Agent) Changed() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.changed
}

func (a *Agent) renewSoon() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
