package engine

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/driver"
	"github.com/deckpulley/deckpulley/control/leases"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/registry"
)

// leadership is what this node keeps for one term of leading. It is discarded as a
// whole when the term ends.
type leadership struct {
	term    uint64
	elected time.Duration
	members *membership.Tracker
	// leases is nil until everything that was committed before the election is
	// applied here; before, nothing is proposed, granted or answered.
	leases *leases.Manager

	nextMaintenance time.Duration
	// headPending and membersPending are true while updates of the head record and
	// of the member records are in progress.
	headPending    bool
	membersPending bool
}

// followLeadership begins and ends the leadership as the replicated log says.
func (m *machine) followLeadership(now time.Duration) {
	status := m.driver.Group().Status()
	if m.leadership != nil && (status.Role != consensus.Leader || status.Term != m.leadership.term) {
		m.log.Warn("leadership lost", "term", m.leadership.term, "newest_term", status.Term)
		m.leadership = nil
		m.driver.FailWaiters(driver.ErrLeadershipLost)
	}
	if m.leadership == nil && status.Role == consensus.Leader {
		m.log.Info("elected leader", "term", status.Term)
		m.metrics.Elections.Inc()
		m.leadership = &leadership{
			term:    status.Term,
			elected: now,
			members: membership.NewTracker(),
		}
	}
}

// startServing begins to serve once an entry of the own term is applied, and with
// it everything that was committed before.
func (m *machine) startServing(now time.Duration, entry consensus.Entry) {
	leadership := m.leadership
	if leadership == nil || leadership.leases != nil || entry.Term != leadership.term || m.driver.State() == nil {
		return
	}
	config := leases.Config{Lease: m.config.Lease, GatewayGrace: m.config.GatewayGrace}
	serial := m.table().Serial()
	leadership.leases = leases.NewManager(config, leadership.term, leadership.elected, now, serial)
	m.log.Info("serving as primary", "term", leadership.term, "serial", serial)
}

// serving returns the leadership if this node is a primary that may answer.
func (m *machine) serving() (*leadership, bool) {
	if m.leadership == nil || m.leadership.leases == nil {
		return nil, false
	}
	return m.leadership, true
}

// TransferLeadership begins to hand leadership over, if this node has it. It waits
// only until the event loop has the request.
func (e *Engine) TransferLeadership(ctx context.Context) {
	e.queue.Post(ctx, e.machine.transferLeadership)
}

func (m *machine) transferLeadership(now time.Duration) {
	if m.driver.Group() == nil {
		return
	}
	status := m.driver.Group().Status()
	target := membership.Successor(status)
	if status.Role != consensus.Leader || target == consensus.None {
		return
	}
	if err := m.driver.Group().TransferLeadership(now, target); err != nil {
		m.log.Warn("leadership transfer failed", "term", status.Term, "error", err)
		return
	}
	m.log.Info("leadership transfer started", "term", status.Term, "to", string(target))
}

// ownUpdate is an update that this node makes for the fleet's own records.
func (m *machine) ownUpdate(prerequisites, changes []registry.Record) registry.Update {
	update := registry.NewUpdate(catalog.Apex, prerequisites, changes)
	update.Requestor = permission.Control(m.config.Name)
	return update
}
