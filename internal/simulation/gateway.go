package simulation

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	gatewayCount      = 3
	placementInterval = 60 * time.Millisecond
)

// gateway is a data-plane node that places requests according to its table at the active
// serial while its lease is valid. It has no disk, so that every restart begins with an
// empty table.
type gateway struct {
	process
	name string
	up   bool

	holder *lease.Holder
	table  *registry.Table
	// receivedSerials lists the received serials above the active one, in ascending
	// order.
	receivedSerials []uint32
	activeSerial    uint32
	primary         *machine
}

// renewal is a lease request with the time on the gateway's clock at which it was sent.
type renewal struct {
	request lease.RenewalRequest
	sent    time.Duration
}

// renewalReply is a machine's reply to a renewal.
type renewalReply struct {
	from     *machine
	decision lease.Decision
	term     uint64
	transfer *registry.Transfer
	hint     *machine // the presumed primary, if the sender is not the primary
}

func (w *world) populateGateways() {
	for i := range gatewayCount {
		g := &gateway{process: process{world: w}, name: fmt.Sprintf("gateway-%d", i)}
		w.gateways = append(w.gateways, g)
		g.start()
	}
}

// start starts a new incarnation without any state of the earlier one.
func (g *gateway) start() {
	g.begin()
	g.up = true
	g.holder = lease.NewHolder(lease.DefaultConfig())
	g.table = registry.NewSecondary(apex, schema)
	g.receivedSerials = nil
	g.activeSerial = 0
	g.primary = nil
	g.scheduleRenewal(g.incarnation)
	g.schedulePlacement(g.incarnation)
}

// receive handles a message, or buffers it while the process is frozen.
func (g *gateway) receive(run func()) {
	switch {
	case !g.up:
	case !g.frozen:
		run()
	default:
		g.buffer(run)
	}
}

func (g *gateway) unfreeze() {
	if !g.frozen {
		return
	}
	for _, message := range g.endFreeze() {
		g.receive(message)
	}
}

// scheduleRenewal renews the lease periodically until the incarnation ends.
func (g *gateway) scheduleRenewal(incarnation int) {
	g.world.schedule(lease.DefaultConfig().RenewalInterval, func() {
		if g.incarnation != incarnation || !g.up {
			return
		}
		if !g.frozen {
			g.renewLease()
		}
		g.scheduleRenewal(incarnation)
	})
}

// renewLease sends a renewal to the known primary, or to a random machine if no primary is
// known or the lease has expired.
func (g *gateway) renewLease() {
	if g.primary == nil || !g.holder.Valid(g.clock()) {
		g.primary = pick(g.world, g.world.machines)
	}
	g.sendRenewal(g.primary)
}

// sendRenewal sends a renewal to a machine. The machine ignores it if the gateway has
// restarted in the meantime.
func (g *gateway) sendRenewal(to *machine) {
	now := g.clock()
	request := renewal{sent: now, request: lease.RenewalRequest{
		Holder:         g.name,
		Incarnation:    fmt.Sprint(g.incarnation),
		ReceivedSerial: g.receivedSerial(),
		ActiveSerial:   g.activeSerial,
		LeaseValid:     g.holder.Valid(now),
		Term:           g.holder.Term(),
	}}
	incarnation := g.incarnation
	g.world.network.send(g.name, to.name, func() {
		to.receive(func() {
			if g.incarnation == incarnation {
				to.answerRenewal(g, request)
			}
		})
	})
}

// releaseLease releases the lease before the process ends.
func (g *gateway) releaseLease() {
	g.holder.Release()
	to := g.primary
	request := renewal{sent: g.clock(), request: lease.RenewalRequest{
		Holder: g.name, Incarnation: fmt.Sprint(g.incarnation), ActiveSerial: g.activeSerial, Release: true,
	}}
	g.world.network.send(g.name, to.name, func() {
		to.receive(func() { to.answerRenewal(g, request) })
	})
}

// receivedSerial returns the serial of the table.
func (g *gateway) receivedSerial() uint32 {
	return g.table.Serial()
}

// receiveReply handles the reply to a renewal. A change of the received or active serial
// is reported to the primary immediately, since acknowledgements wait for it.
func (g *gateway) receiveReply(answered renewal, reply renewalReply) {
	if answered.request.Incarnation != fmt.Sprint(g.incarnation) {
		return // a reply to an earlier incarnation
	}
	if !reply.decision.QuorumConfirmed {
		if reply.hint != nil && reply.hint != g.primary {
			g.primary = reply.hint
			g.sendRenewal(g.primary)
		}
		return
	}
	now, sent := g.clock(), answered.sent
	if g.world.hasDefect(defect.LeaseFromArrival) {
		sent = now
	}
	if err := g.holder.HandleGrant(now, sent, reply.term, clusterName, reply.decision.LeaseDuration); err != nil {
		return
	}
	g.primary = reply.from
	changed := g.applyTransfer(reply.transfer)
	if g.activate(reply.decision.ActivationSerial) || changed {
		g.sendRenewal(g.primary)
	}
}

// applyTransfer applies a transfer to the table and reports whether the table's serial
// changed. A late transfer does not match the table's serial and is ignored.
func (g *gateway) applyTransfer(transfer *registry.Transfer) bool {
	if transfer == nil {
		return false
	}
	before := g.receivedSerial()
	if err := g.table.ApplyTransfer(*transfer); err != nil || g.receivedSerial() == before {
		return false
	}
	g.receivedSerials = append(g.receivedSerials, g.receivedSerial())
	return true
}

// activate advances the active serial to the highest received serial up to permitted, and
// reports whether it changed. A permitted serial of 0 permits none.
func (g *gateway) activate(permitted uint32) bool {
	changed := false
	for len(g.receivedSerials) > 0 && !registry.SerialLess(permitted, g.receivedSerials[0]) && permitted != 0 {
		g.activeSerial = g.receivedSerials[0]
		g.receivedSerials = g.receivedSerials[1:]
		changed = true
	}
	return changed
}

// schedulePlacement places requests periodically until the incarnation ends.
func (g *gateway) schedulePlacement(incarnation int) {
	g.world.schedule(placementInterval, func() {
		if g.incarnation != incarnation || !g.up {
			return
		}
		if !g.frozen && g.canPlace() {
			g.world.result.Placements++
			g.world.checks.checkPlacement(g)
		}
		g.schedulePlacement(incarnation)
	})
}

// canPlace reports whether the gateway may place requests.
func (g *gateway) canPlace() bool {
	return g.up && g.holder.Valid(g.clock())
}

func (w *world) freezeGateway() {
	g := pick(w, w.gateways)
	if !g.up || g.frozen {
		return
	}
	w.countFault(FaultGatewayFreeze)
	g.frozen = true
	w.schedule(w.between(minFreeze, maxFreeze), g.unfreeze)
}

func (w *world) restartGateway() {
	g := pick(w, w.gateways)
	if !g.up {
		return
	}
	w.countFault(FaultGatewayRestart)
	if !g.frozen && g.primary != nil && w.chance(0.5) {
		g.releaseLease()
	}
	g.up = false
	w.schedule(w.between(minDowntime, maxDowntime), func() {
		if !g.up {
			g.start()
		}
	})
}

// isolateGateway blocks the links to a gateway, from it, or both.
func (w *world) isolateGateway() {
	g := pick(w, w.gateways)
	w.countFault(FaultGatewayIsolate)
	incoming, outgoing := w.chance(0.7), w.chance(0.7)
	for _, m := range w.machines {
		if incoming {
			w.network.block(m.name, g.name)
		}
		if outgoing {
			w.network.block(g.name, m.name)
		}
	}
	w.schedule(w.between(minPartition, maxPartition), func() { w.unblockAll(g.name) })
}

func (w *world) recoverGateways() {
	for _, g := range w.gateways {
		if g.up {
			g.unfreeze()
		} else {
			g.start()
		}
	}
}

func (w *world) gatewaysRecovered() bool {
	leader := w.leader()
	for _, g := range w.gateways {
		if !g.canPlace() || g.activeSerial != leader.state.serial() {
			return false
		}
	}
	return true
}

func (w *world) describeGateways() string {
	text := ""
	for _, g := range w.gateways {
		text += fmt.Sprintf("%s may place requests: %v, received serial %d, active serial %d; ", g.name, g.canPlace(), g.receivedSerial(), g.activeSerial)
	}
	return text
}
