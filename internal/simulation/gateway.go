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

// gateway acts on the active serial while it has a lease. It has no disk: a
// restart is a new incarnation.
type gateway struct {
	world *world
	name  string
	// incarnation counts the starts; timers of an earlier one are void.
	incarnation int
	up          bool
	started     time.Duration
	drift       float64
	frozen      bool
	buffered    []func()

	holder *lease.Holder
	table  *registry.Table
	// receivedSerials lists the serials of which there is a copy and which are newer than
	// active, in ascending order.
	receivedSerials []uint32
	activeSerial    uint32
	primary         *machine
}

// renewal is a request for a lease with the time at which it was sent.
type renewal struct {
	request lease.Request
	sent    time.Duration
}

// renewalReply is the answer to a renewal.
type renewalReply struct {
	from     *machine
	decision lease.Decision
	term     uint64
	transfer *registry.Transfer
	hint     *machine // who may be the primary
}

func (w *world) populateGateways() {
	for i := range gatewayCount {
		g := &gateway{world: w, name: fmt.Sprintf("gateway-%d", i)}
		w.gateways = append(w.gateways, g)
		g.start()
	}
}

func (g *gateway) start() {
	g.incarnation++
	g.up = true
	g.frozen = false
	g.buffered = nil
	g.started = g.world.now
	g.drift = maxDrift * (2*g.world.random.Float64() - 1)
	g.holder = lease.NewHolder(lease.DefaultConfig())
	g.table = registry.NewSecondary(apex, schema)
	g.receivedSerials = nil
	g.activeSerial = 0
	g.primary = nil
	g.scheduleRenewal(g.incarnation)
	g.schedulePlacement(g.incarnation)
}

func (g *gateway) clock() time.Duration {
	elapsed := g.world.now - g.started
	return elapsed + time.Duration(float64(elapsed)*g.drift)
}

// receive takes a message in, or lets it wait while the process is frozen.
func (g *gateway) receive(run func()) {
	switch {
	case !g.up:
	case !g.frozen:
		run()
	case len(g.buffered) < maxBuffered:
		g.buffered = append(g.buffered, run)
	}
}

func (g *gateway) unfreeze() {
	if !g.frozen {
		return
	}
	g.frozen = false
	waited := g.buffered
	g.buffered = nil
	for _, run := range waited {
		g.receive(run)
	}
}

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

// renewLease asks the known primary, and now and then another machine.
func (g *gateway) renewLease() {
	if g.primary == nil || !g.holder.Valid(g.clock()) {
		g.primary = pick(g.world, g.world.machines)
	}
	g.sendRenewal(g.primary)
}

func (g *gateway) sendRenewal(to *machine) {
	now := g.clock()
	asked := renewal{sent: now, request: lease.Request{
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
				to.answerRenewal(g, asked)
			}
		})
	})
}

// releaseLease gives the lease up before the process ends.
func (g *gateway) releaseLease() {
	g.holder.Release()
	to := g.primary
	asked := renewal{sent: g.clock(), request: lease.Request{
		Holder: g.name, Incarnation: fmt.Sprint(g.incarnation), ActiveSerial: g.activeSerial, Release: true,
	}}
	g.world.network.send(g.name, to.name, func() {
		to.receive(func() { to.answerRenewal(g, asked) })
	})
}

func (g *gateway) receivedSerial() uint32 {
	return g.table.Serial()
}

// receiveReply takes the answer to a renewal in.
func (g *gateway) receiveReply(asked renewal, reply renewalReply) {
	if asked.request.Incarnation != fmt.Sprint(g.incarnation) {
		return // the connection that it came on is gone
	}
	if !reply.decision.Authoritative {
		if reply.hint != nil && reply.hint != g.primary {
			g.primary = reply.hint
			g.sendRenewal(g.primary)
		}
		return
	}
	now, sent := g.clock(), asked.sent
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

// applyTransfer brings the copy up to date. A late transfer does not fit, and is dropped.
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

// activate makes the newest copy up to the permitted serial decide.
func (g *gateway) activate(permitted uint32) bool {
	changed := false
	for len(g.receivedSerials) > 0 && !registry.SerialLess(permitted, g.receivedSerials[0]) && permitted != 0 {
		g.activeSerial = g.receivedSerials[0]
		g.receivedSerials = g.receivedSerials[1:]
		changed = true
	}
	return changed
}

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

// isolateGateway cuts a gateway off, in one direction or both.
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
		text += fmt.Sprintf("%s valid %v held %d active %d; ", g.name, g.canPlace(), g.receivedSerial(), g.activeSerial)
	}
	return text
}
