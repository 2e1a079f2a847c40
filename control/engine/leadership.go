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

// leadership is the state of a leader for one term. It is discarded when this node loses
// leadership.
type leadership struct {
	term      uint64
	electedAt time.Duration
	members   *membership.Tracker
	// leases is nil until this node has applied everything that was committed before
	// the election. Until then it proposes nothing, grants no leases and answers no
	// requests as the primary.
	leases *leases.Manager

	nextMaintenance time.Duration
	nextReminder    time.Duration
	// soaPending and nsPending are true while an update of the SOA record or of
	// the NS records is in progress.
	soaPending bool
	nsPending  bool
}

// updateLeadership creates or discards the leadership state after the replicated log
// has changed its role or term.
func (m *machine) updateLeadership(now time.Duration) {
	term, leading := m.driver.Consensus().Leadership()
	if m.leadership != nil && (!leading || term != m.leadership.term) {
		m.log.Warn("leadership lost", "term", m.leadership.term, "newest_term", term)
		m.leadership = nil
		m.driver.FailWaiters(driver.ErrLeadershipLost)
	}
	if m.leadership == nil && leading {
		m.log.Info("elected leader", "term", term)
		m.metrics.Elections.Inc()
		m.leadership = &leadership{
			term:      term,
			electedAt: now,
			members:   membership.NewTracker(),
		}
	}
}

// startServing makes this leader serve as the primary once it has applied an entry of
// its own term, and so everything that was committed before its election.
func (m *machine) startServing(now time.Duration, entry consensus.Entry) {
	leadership := m.leadership
	if leadership == nil || leadership.leases != nil || entry.Term != leadership.term || m.driver.State() == nil {
		return
	}
	config := leases.Config{Lease: m.config.Lease, GatewayGrace: m.config.GatewayGrace}
	serial := m.table().Serial()
	leadership.leases = leases.NewManager(config, leadership.term, leadership.electedAt, now, serial)
	m.log.Info("serving as primary", "term", leadership.term, "serial", serial)
}

// serving returns the leadership state if this node serves as the primary.
func (m *machine) serving() (*leadership, bool) {
	if m.leadership == nil || m.leadership.leases == nil {
		return nil, false
	}
	return m.leadership, true
}

// TransferLeadership starts a transfer of leadership if this node leads. It returns once
// the request is queued for the event loop.
func (e *Engine) TransferLeadership(ctx context.Context) {
	e.queue.Post(ctx, e.machine.transferLeadership)
}

func (m *machine) transferLeadership(now time.Duration) {
	if m.driver.Consensus() == nil {
		return
	}
	status := m.driver.Consensus().Status()
	target := membership.Successor(status)
	if status.Role != consensus.Leader || target == consensus.None {
		return
	}
	if err := m.driver.Consensus().TransferLeadership(now, target); err != nil {
		m.log.Warn("leadership transfer failed", "term", status.Term, "error", err)
		return
	}
	m.log.Info("leadership transfer started", "term", status.Term, "to", string(target))
}

// ownUpdate returns an update of the registry that this control node itself requests.
func (m *machine) ownUpdate(prerequisites, changes []registry.Record) registry.Update {
	update := registry.NewUpdate(catalog.Apex, prerequisites, changes)
	update.Requestor = permission.Control(m.config.Name)
	return update
}
