package simulation

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
	"github.com/deckpulley/deckpulley/storage"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// The kinds of faults.
const (
	FaultCrash           FaultKind = "crash"
	FaultCrashAtWrite    FaultKind = "crash around a write"
	FaultCrashAll        FaultKind = "crash of all machines"
	FaultFreeze          FaultKind = "freeze"
	FaultCutOneWay       FaultKind = "one-way cut"
	FaultIsolate         FaultKind = "two-way cut of a machine"
	FaultWeather         FaultKind = "loss, doubling and reordering"
	FaultWipe            FaultKind = "wiped disk"
	FaultWipeAfterAnswer FaultKind = "disk of the primary wiped after an answer"
	FaultReplace         FaultKind = "replacement at a new address"
	FaultTransfer        FaultKind = "leadership transfer"
	FaultGatewayFreeze   FaultKind = "gateway frozen"
	FaultGatewayRestart  FaultKind = "gateway restarted"
	FaultGatewayCut      FaultKind = "gateway cut off"
)

const (
	faultLeast   = 60 * time.Millisecond
	faultMost    = 700 * time.Millisecond
	restartLeast = 20 * time.Millisecond
	restartMost  = 3 * time.Second
	freezeLeast  = 50 * time.Millisecond
	freezeMost   = 6 * time.Second
	cutLeast     = 100 * time.Millisecond
	cutMost      = 4 * time.Second
	weatherLeast = 300 * time.Millisecond
	weatherMost  = 3 * time.Second
	badLoss      = 0.3
	badDoubling  = 0.2
	badTail      = 400 * time.Millisecond
	// writesAhead is how many writes ahead a power cut is planned.
	writesAhead = 6
	// wipeAfterAnswer is the chance that an answer is followed by a loss.
	wipeAfterAnswer = 0.04
	wipeDelayMost   = 50 * time.Millisecond
)

// faultPlan is what the injector of faults keeps.
type faultPlan struct {
	// size is the number of voters that the group is to have.
	size   int
	ending time.Duration
	// lost holds the identities whose disks are gone.
	lost map[consensus.ID]bool
	kind []weighted
}

type weighted struct {
	kind   FaultKind
	weight int
	inject func()
}

// startFaults injects faults until the end.
func (w *world) startFaults(end time.Duration) {
	w.faults.ending = end
	w.faults.lost = make(map[consensus.ID]bool)
	w.faults.kind = []weighted{
		{FaultCrash, 12, w.crashOne},
		{FaultCrashAtWrite, 14, w.planCrash},
		{FaultCrashAll, 1, w.crashAll},
		{FaultFreeze, 10, w.freezeOne},
		{FaultCutOneWay, 12, w.cutOneWay},
		{FaultIsolate, 8, w.isolateOne},
		{FaultWeather, 8, w.weather},
		{FaultWipe, 10, w.wipeOne},
		{FaultReplace, 5, w.replaceOne},
		{FaultTransfer, 4, w.transfer},
		{FaultGatewayFreeze, 5, w.freezeGateway},
		{FaultGatewayRestart, 5, w.restartGateway},
		{FaultGatewayCut, 5, w.cutGateway},
	}
	w.faultLater()
}

func (w *world) faultLater() {
	w.after(w.between(faultLeast, faultMost), func() {
		if w.now >= w.faults.ending {
			return
		}
		w.injectOne()
		w.faultLater()
	})
}

func (w *world) injectOne() {
	total := 0
	for _, choice := range w.faults.kind {
		total += choice.weight
	}
	drawn := w.random.IntN(total)
	for _, choice := range w.faults.kind {
		drawn -= choice.weight
		if drawn < 0 {
			choice.inject()
			return
		}
	}
}

func (w *world) count(kind FaultKind) {
	w.result.Faults[kind]++
}

// present returns the machines that have not been taken away for good.
func (w *world) present() []*machine {
	var present []*machine
	for _, m := range w.machines {
		if !m.gone {
			present = append(present, m)
		}
	}
	return present
}

// target prefers the leader, where faults hurt most.
func (w *world) target() *machine {
	if leader := w.leader(); leader != nil && w.chance(0.4) {
		return leader
	}
	return pick(w, w.present())
}

// leader returns the running leader of the newest term.
func (w *world) leader() *machine {
	var best *machine
	var bestTerm uint64
	for _, m := range w.machines {
		if m.node == nil {
			continue
		}
		if term, leading := m.node.Office(); leading && term > bestTerm {
			best, bestTerm = m, term
		}
	}
	return best
}

func (w *world) crashOne() {
	m := w.target()
	if m.node == nil {
		return
	}
	w.count(FaultCrash)
	m.crash()
	w.after(w.between(restartLeast, restartMost), m.restart)
}

func (w *world) planCrash() {
	m := w.target()
	if m.node != nil {
		m.store.Plan(storage.CrashPlan{Write: 1 + w.random.IntN(writesAhead), After: w.chance(0.5)})
	}
}

func (w *world) crashAll() {
	w.count(FaultCrashAll)
	for _, m := range w.present() {
		m.crash()
		w.after(w.between(restartLeast, restartMost), m.restart)
	}
}

func (w *world) freezeOne() {
	m := w.target()
	if !m.up() {
		return
	}
	w.count(FaultFreeze)
	m.frozen = true
	w.after(w.between(freezeLeast, freezeMost), m.thaw)
}

func (w *world) cutOneWay() {
	from, to := w.target(), pick(w, w.present())
	if from == to {
		return
	}
	if w.chance(0.5) {
		from, to = to, from
	}
	w.count(FaultCutOneWay)
	w.network.cut(from.name, to.name)
	w.after(w.between(cutLeast, cutMost), func() { w.network.mend(from.name, to.name) })
}

func (w *world) isolateOne() {
	m := w.target()
	w.count(FaultIsolate)
	for _, other := range w.machines {
		w.network.cut(m.name, other.name)
		w.network.cut(other.name, m.name)
	}
	for _, g := range w.gateways {
		if w.chance(0.5) {
			w.network.cut(m.name, g.name)
			w.network.cut(g.name, m.name)
		}
	}
	w.after(w.between(cutLeast, cutMost), func() { w.mendAll(m.name) })
}

func (w *world) mendAll(name string) {
	for pair := range w.network.cuts {
		if pair.from == name || pair.to == name {
			delete(w.network.cuts, pair)
		}
	}
}

func (w *world) weather() {
	w.count(FaultWeather)
	w.network.loss = badLoss * w.random.Float64()
	w.network.doubling = badDoubling * w.random.Float64()
	w.network.tail = w.between(calmTail, badTail)
	w.after(w.between(weatherLeast, weatherMost), w.network.calm)
}

// mayLose tells whether the group reports itself whole, so that it must bear
// the loss of a disk.
func (w *world) mayLose() bool {
	for _, m := range w.machines {
		if m.repairDone() && !w.holdsLost(m) {
			return true
		}
	}
	return false
}

// holdsLost tells whether a leader has not yet noticed an earlier loss.
func (w *world) holdsLost(m *machine) bool {
	for _, member := range m.node.Status().Membership.Members {
		if w.faults.lost[member.ID] {
			return true
		}
	}
	return false
}

func (w *world) wipeOne() {
	if w.mayLose() {
		w.wipe(w.target(), FaultWipe)
	}
}

// wipe takes a machine's disk away. It comes back empty at the same address.
func (w *world) wipe(m *machine, kind FaultKind) {
	if m.gone {
		return
	}
	w.count(kind)
	m.crash()
	identity := w.newIdentity()
	if w.has(defect.KeepIdentity) {
		identity = m.identity
	} else {
		w.faults.lost[m.identity] = true
	}
	m.store.Wipe(identity)
	w.checks.owns(identity, m)
	w.after(w.between(restartLeast, restartMost), m.restart)
}

// afterAnswer sometimes wipes the primary's disk right after an answer.
func (w *world) afterAnswer(m *machine) {
	if w.now >= w.faults.ending || !w.chance(wipeAfterAnswer) {
		return
	}
	w.after(w.between(0, wipeDelayMost), func() {
		if w.now < w.faults.ending && w.mayLose() {
			w.wipe(m, FaultWipeAfterAnswer)
		}
	})
}

// replaceOne takes a machine away for good and starts another one elsewhere.
func (w *world) replaceOne() {
	if !w.mayLose() {
		return
	}
	old := w.target()
	w.count(FaultReplace)
	w.faults.lost[old.identity] = true
	old.crash()
	old.gone = true
	w.named++
	fresh := w.newMachine(fmt.Sprintf("control-%d", w.named), old.name)
	held, _ := fresh.store.Load()
	w.checks.owns(held.Identity, fresh)
	w.after(w.between(restartLeast, restartMost), fresh.restart)
}

func (w *world) transfer() {
	leader := w.leader()
	if leader == nil || !leader.up() {
		return
	}
	to := pick(w, leader.node.Status().Membership.Members)
	if to.ID == leader.identity || leader.node.TransferLeadership(leader.clock(), to.ID) != nil {
		return
	}
	w.count(FaultTransfer)
	leader.work()
}

// healEverything ends all faults.
func (w *world) healEverything() {
	clear(w.network.cuts)
	w.network.calm()
	for _, m := range w.present() {
		if w.broken() {
			return
		}
		if m.node == nil {
			m.restart()
		} else {
			m.store.Plan(storage.CrashPlan{})
			m.thaw()
		}
	}
	w.healGateways()
}

// recovered tells whether everything works as before.
func (w *world) recovered() bool {
	for _, o := range w.operators {
		if !o.done() {
			return false
		}
	}
	leader := w.leader()
	if leader == nil || !leader.repairDone() {
		return false
	}
	for _, m := range w.present() {
		if !m.up() || !m.votes() {
			return false
		}
	}
	return w.gatewaysRecovered()
}

// stuck says what has not recovered.
func (w *world) stuck() string {
	text := ""
	for _, o := range w.operators {
		if o.open != nil {
			text += fmt.Sprintf("%s waits for %s; ", o.name, o.open.order.ID)
		}
	}
	for _, m := range w.present() {
		if m.node == nil {
			text += m.name + " is down; "
			continue
		}
		status := m.node.Status()
		text += fmt.Sprintf("%s role %d term %d commit %d last %d members %d voter %v; ",
			m.name, status.Role, status.Term, status.Commit, status.LastIndex, len(status.Membership.Members), m.votes())
	}
	return text + w.stuckGateways()
}
