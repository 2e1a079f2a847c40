package simulation

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	gatewayCount   = 3
	placementEvery = 60 * time.Millisecond
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
	buffer      []func()

	holder *lease.Holder
	copied *registry.Table
	// held lists the serials of which there is a copy and which are newer than
	// active, in ascending order.
	held    []uint32
	active  uint32
	primary *machine
}

// renewal is a request for a lease with the time at which it was sent.
type renewal struct {
	request lease.Request
	sent    time.Duration
}

// grant is the answer to a renewal.
type grant struct {
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
	g.buffer = nil
	g.started = g.world.now
	g.drift = mostDrift * (2*g.world.random.Float64() - 1)
	g.holder = lease.NewHolder(lease.DefaultConfig())
	g.copied = registry.NewSecondary(apex, schema)
	g.held = nil
	g.active = 0
	g.primary = nil
	g.renewLater(g.incarnation)
	g.placeLater(g.incarnation)
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
	case len(g.buffer) < bufferLimit:
		g.buffer = append(g.buffer, run)
	}
}

func (g *gateway) thaw() {
	if !g.frozen {
		return
	}
	g.frozen = false
	waited := g.buffer
	g.buffer = nil
	for _, run := range waited {
		g.receive(run)
	}
}

func (g *gateway) renewLater(incarnation int) {
	g.world.after(lease.DefaultConfig().RenewalInterval, func() {
		if g.incarnation != incarnation || !g.up {
			return
		}
		if !g.frozen {
			g.renewSomewhere()
		}
		g.renewLater(incarnation)
	})
}

// renewSomewhere asks the known primary, and now and then another machine.
func (g *gateway) renewSomewhere() {
	if g.primary == nil || !g.holder.Valid(g.clock()) {
		g.primary = pick(g.world, g.world.machines)
	}
	g.renew(g.primary)
}

func (g *gateway) renew(to *machine) {
	now := g.clock()
	asked := renewal{sent: now, request: lease.Request{
		Holder:         g.name,
		Incarnation:    fmt.Sprint(g.incarnation),
		ReceivedSerial: g.newest(),
		ActiveSerial:   g.active,
		LeaseValid:     g.holder.Valid(now),
		Term:           g.holder.Term(),
	}}
	incarnation := g.incarnation
	g.world.network.send(g.name, to.name, func() {
		to.receive(func() {
			if g.incarnation == incarnation {
				to.grant(g, asked)
			}
		})
	})
}

// leave gives the lease up before the process ends.
func (g *gateway) leave() {
	g.holder.Release()
	to := g.primary
	asked := renewal{sent: g.clock(), request: lease.Request{
		Holder: g.name, Incarnation: fmt.Sprint(g.incarnation), ActiveSerial: g.active, Release: true,
	}}
	g.world.network.send(g.name, to.name, func() {
		to.receive(func() { to.grant(g, asked) })
	})
}

func (g *gateway) newest() uint32 {
	return g.copied.Serial()
}

// granted takes the answer to a renewal in.
func (g *gateway) granted(asked renewal, reply grant) {
	if asked.request.Incarnation != fmt.Sprint(g.incarnation) {
		return // the connection that it came on is gone
	}
	if !reply.decision.Authoritative {
		if reply.hint != nil && reply.hint != g.primary {
			g.primary = reply.hint
			g.renew(g.primary)
		}
		return
	}
	now, sent := g.clock(), asked.sent
	if g.world.has(defect.LeaseFromArrival) {
		sent = now
	}
	if err := g.holder.HandleGrant(now, sent, reply.term, clusterName, reply.decision.LeaseDuration); err != nil {
		return
	}
	g.primary = reply.from
	changed := g.take(reply.transfer)
	if g.activate(reply.decision.ActivationSerial) || changed {
		g.renew(g.primary)
	}
}

// take brings the copy up to date. A late transfer does not fit, and is dropped.
func (g *gateway) take(transfer *registry.Transfer) bool {
	if transfer == nil {
		return false
	}
	before := g.newest()
	if err := g.copied.ApplyTransfer(*transfer); err != nil || g.newest() == before {
		return false
	}
	g.held = append(g.held, g.newest())
	return true
}

// activate makes the newest copy up to the permitted serial decide.
func (g *gateway) activate(permitted uint32) bool {
	changed := false
	for len(g.held) > 0 && !registry.SerialLess(permitted, g.held[0]) && permitted != 0 {
		g.active = g.held[0]
		g.held = g.held[1:]
		changed = true
	}
	return changed
}

func (g *gateway) placeLater(incarnation int) {
	g.world.after(placementEvery, func() {
		if g.incarnation != incarnation || !g.up {
			return
		}
		if !g.frozen && g.mayPlace() {
			g.world.result.Placements++
			g.world.checks.placed(g)
		}
		g.placeLater(incarnation)
	})
}

func (g *gateway) mayPlace() bool {
	return g.up && g.holder.Valid(g.clock())
}

func (w *world) freezeGateway() {
	g := pick(w, w.gateways)
	if !g.up || g.frozen {
		return
	}
	w.count(FaultGatewayFreeze)
	g.frozen = true
	w.after(w.between(freezeLeast, freezeMost), g.thaw)
}

func (w *world) restartGateway() {
	g := pick(w, w.gateways)
	if !g.up {
		return
	}
	w.count(FaultGatewayRestart)
	if !g.frozen && g.primary != nil && w.chance(0.5) {
		g.leave()
	}
	g.up = false
	w.after(w.between(restartLeast, restartMost), func() {
		if !g.up {
			g.start()
		}
	})
}

// cutGateway cuts a gateway off, in one direction or both.
func (w *world) cutGateway() {
	g := pick(w, w.gateways)
	w.count(FaultGatewayCut)
	incoming, outgoing := w.chance(0.7), w.chance(0.7)
	for _, m := range w.machines {
		if incoming {
			w.network.cut(m.name, g.name)
		}
		if outgoing {
			w.network.cut(g.name, m.name)
		}
	}
	w.after(w.between(cutLeast, cutMost), func() { w.mendAll(g.name) })
}

func (w *world) healGateways() {
	for _, g := range w.gateways {
		if g.up {
			g.thaw()
		} else {
			g.start()
		}
	}
}

func (w *world) gatewaysRecovered() bool {
	leader := w.leader()
	for _, g := range w.gateways {
		if !g.mayPlace() || g.active != leader.state.serial() {
			return false
		}
	}
	return true
}

func (w *world) stuckGateways() string {
	text := ""
	for _, g := range w.gateways {
		text += fmt.Sprintf("%s valid %v held %d active %d; ", g.name, g.mayPlace(), g.newest(), g.active)
	}
	return text
}
