package engine

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/leases"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// Label values of the renewals counter.
const (
	renewalGranted = "granted"
	renewalRefused = "refused"
)

// ServeRenew handles peer.KindRenew, a gateway's lease renewal.
func (e *Engine) ServeRenew(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var renew peer.Renew
	if err := decode(&renew); err != nil {
		return nil, err
	}
	grant, err := eventqueue.Ask(ctx, e.queue, func(now time.Duration) peer.Grant {
		return e.machine.renew(now, renew)
	})
	if err != nil {
		return nil, err
	}
	return &grant, nil
}

// renew answers one lease renewal.
func (m *machine) renew(now time.Duration, renew peer.Renew) peer.Grant {
	grant := peer.Grant{Cluster: m.driver.Cluster()}
	if m.driver.Consensus() == nil {
		return grant
	}
	node := m.driver.Consensus()
	members := node.CurrentMembership()
	grant.Term, _ = node.Leadership()
	grant.ControlAddresses = membership.Addresses(members)
	leadership, serving := m.serving()
	if !serving {
		grant.Primary = m.driver.AddressOf(members, node.Leader())
		m.addFirstTable(now, &grant, renew)
		return grant
	}
	if m.mustRefuseRenewal(renew, grant.Term) {
		grant.Primary = m.driver.AddressOf(members, node.Leader())
		return grant
	}
	contact, known := m.driver.Consensus().QuorumContact()
	decision := leadership.leases.Renew(now, contact, known, &renew)
	if change := leadership.leases.RecordRenewal(now, m.driver.Catalog(), &renew); change != nil {
		m.changeGatewayRecord(now, change)
	}
	grant.ActivationSerial = decision.ActivationSerial
	if !decision.QuorumConfirmed {
		m.metrics.Renewals.WithLabelValues(renewalRefused).Inc()
		return grant
	}
	m.metrics.Renewals.WithLabelValues(renewalGranted).Inc()
	grant.QuorumConfirmed = true
	if leadership.leases.MayGrantLease(m.driver.Catalog(), renew.Gateway) {
		grant.LeaseMS = decision.LeaseDuration.Milliseconds()
	}
	m.transfers.Add(now, &grant, m.table(), renew.ReceivedSerial)
	return grant
}

// addFirstTable adds the table of this node, which is not the primary, to the reply to a
// gateway that has no table. The gateway stores it, but activates it only once the primary
// permits that. After a power loss, the primary alone could not send the complete table
// to all gateways at once.
func (m *machine) addFirstTable(now time.Duration, grant *peer.Grant, renew peer.Renew) {
	sameGroup := renew.Cluster == "" || renew.Cluster == m.driver.Cluster()
	if renew.ReceivedSerial == 0 && sameGroup && grant.Primary != "" && m.driver.State() != nil {
		m.transfers.Add(now, grant, m.table(), renew.ReceivedSerial)
	}
}

// mustRefuseRenewal reports whether this primary must not grant a renewal: it comes from a
// gateway that belongs to another group, or one that knows a newer term or serial than
// this node.
func (m *machine) mustRefuseRenewal(renew peer.Renew, term uint64) bool {
	if renew.Cluster != "" && renew.Cluster != m.driver.Cluster() {
		return true
	}
	if renew.Term > term {
		return true
	}
	serial := m.table().Serial()
	ahead := renew.ReceivedSerial != 0 && registry.SerialLess(serial, renew.ReceivedSerial)
	if ahead {
		m.log.Error("gateway ahead of primary", "gateway", renew.Gateway.Name, "received_serial", renew.ReceivedSerial, "serial", serial, "term", term)
	}
	return ahead
}

// changeGatewayRecord queues a change of a gateway's record for the next update.
func (m *machine) changeGatewayRecord(now time.Duration, change *leases.RecordChange) {
	m.log.Info("gateway record change queued", "gateway", change.Gateway, "up", change.New.Up, "incarnation", change.New.Incarnation, "term", m.leadership.term)
	m.leadership.leases.QueueRecordChange(change)
	m.proposeGatewayRecords(now)
}

// proposeGatewayRecords proposes the queued changes of gateway records as one update,
// unless another is in progress or they are still delayed after an election.
func (m *machine) proposeGatewayRecords(now time.Duration) {
	leadership, serving := m.serving()
	if !serving {
		return
	}
	update, due := leadership.leases.NextRecordUpdate(now)
	if !due {
		return
	}
	m.propose(now, m.ownUpdate(update.Prerequisites, update.Changes), func(registry.Result, error) { update.Finished() })
}

// reviewLeases computes the serial that gateways may activate and the serial in force,
// and notifies the gateways of a new serial or activation.
func (m *machine) reviewLeases(now time.Duration) {
	leadership, serving := m.serving()
	if !serving {
		return
	}
	leadership.leases.ExpectHolders(now, m.driver.Catalog())
	if leadership.leases.NeedsConfirmation() {
		m.driver.Consensus().ConfirmLeadership(now)
	}
	contact, known := m.driver.Consensus().QuorumContact()
	if leadership.leases.Review(contact, known, m.table().Serial()) && leadership.leases.TakeNotification() {
		m.notifyGateways(leadership)
	}
}

// notifyGateways asks the gateways to renew immediately, since there is a new serial, a
// new serial to activate or a new primary.
func (m *machine) notifyGateways(leadership *leadership) {
	m.notify(leadership, leadership.leases.Addresses(m.driver.Catalog()))
}

// remindSilentGateways tells some of the gateways that are down and have not renewed with
// this primary where it is. Nobody else may tell those that were partitioned while all control
// nodes were replaced.
func (m *machine) remindSilentGateways(now time.Duration, leadership *leadership) {
	if now < leadership.nextReminder || m.driver.Catalog() == nil {
		return
	}
	leadership.nextReminder = now + reminderInterval
	m.notify(leadership, leadership.leases.SilentAddresses(m.driver.Catalog(), remindersPerRound))
}

// notify sends a notification to gateways.
func (m *machine) notify(leadership *leadership, addresses []string) {
	review := leadership.leases.LastReview()
	notify := peer.Notify{
		Cluster:          m.driver.Cluster(),
		Term:             leadership.term,
		Primary:          m.config.PeerAddress,
		Serial:           review.Serial,
		ActivationSerial: review.Activate,
	}
	for _, address := range addresses {
		m.config.Network.Send(address, peer.KindNotify, &notify)
	}
}
