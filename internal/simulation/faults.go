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
	FaultStall           FaultKind = "stop between disk and network"
	FaultCutOneWay       FaultKind = "one-way cut"
	FaultIsolate         FaultKind = "two-way cut of a machine"
	FaultWeather         FaultKind = "loss, doubling and reordering"
	FaultWipe            FaultKind = "wiped disk"
	FaultWipeAfterAnswer FaultKind = "disk of the primary wiped after an answer"
	FaultReplace         FaultKind = "replacement at a new address"
	FaultTransfer        FaultKind = "leadership transfer"
	FaultCrashAfterVote  FaultKind = "crash right after a vote"
	FaultCrashElected    FaultKind = "crash or cut right after an election"
	FaultSilenced        FaultKind = "leader cut off at its first commit"
	FaultSplit           FaultKind = "group split in two"
	FaultSwap            FaultKind = "planned replacement of a running machine"
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
	wipeAfterAnswer = 0.3
	wipeDelayMost   = 50 * time.Millisecond
)

const (
	quickRestart = 40 * time.Millisecond
	strikeDelay  = 40 * time.Millisecond
)

// changeSplits are the chances that a change of the membership meets a split.
var changeSplits = []float64{0.1, 0.6}

// cutShares are the shares of the others that a struck leader no longer reaches.
var cutShares = []float64{0.5, 1}

// voteStrikes and officeStrikes are the chances that a vote is followed by a
// crash of the voter, and an election by a fault of the new leader.
var (
	voteStrikes   = []float64{0.02, 0.05, 0.5}
	officeStrikes = []float64{0.05, 0.15, 0.7}
)

// paces are how many times rarer than at most faults come, drawn for each
// history: in a storm little is ever whole, so that few disks may be lost.
var paces = []time.Duration{1, 2, 4, 8}

// faultPlan is what the injector of faults keeps.
type faultPlan struct {
	pace         time.Duration
	voteStrike   float64
	officeStrike float64
	changeSplit  float64
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
	w.faults.pace = pick(w, paces)
	w.faults.voteStrike = pick(w, voteStrikes)
	w.faults.officeStrike = pick(w, officeStrikes)
	w.faults.changeSplit = pick(w, changeSplits)
	w.faults.lost = make(map[consensus.ID]bool)
	w.faults.kind = []weighted{
		{FaultCrash, 12, w.crashOne},
		{FaultCrashAtWrite, 14, w.planCrash},
		{FaultCrashAll, 1, w.crashAll},
		{FaultFreeze, 10, w.freezeOne},
		{FaultStall, 10, w.stallOne},
		{FaultCutOneWay, 12, w.cutOneWay},
		{FaultIsolate, 8, w.isolateOne},
		{FaultWeather, 8, w.weather},
		{FaultWipe, 10, w.wipeOne},
		{FaultReplace, 5, w.replaceOne},
		{FaultTransfer, 4, w.transfer},
		{FaultSplit, 6, w.split},
		{FaultSwap, 14, w.swapOne},
		{FaultGatewayFreeze, 5, w.freezeGateway},
		{FaultGatewayRestart, 5, w.restartGateway},
		{FaultGatewayCut, 5, w.cutGateway},
	}
	w.faultLater()
}

func (w *world) faultLater() {
	w.after(w.faults.pace*w.between(faultLeast, faultMost), func() {
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

// stallOne plans a slow write, or a freeze right after one.
func (w *world) stallOne() {
	if m := w.target(); m.up() {
		m.stall = w.between(freezeLeast, pick(w, []time.Duration{2 * freezeLeast, freezeMost}))
	}
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

// split parts the machines in two, for a while.
func (w *world) split() {
	w.count(FaultSplit)
	var here, there []*machine
	for _, m := range w.machines {
		if w.chance(0.5) {
			here = append(here, m)
		} else {
			there = append(there, m)
		}
	}
	each := func(change func(from, to string)) {
		for _, one := range here {
			for _, other := range there {
				change(one.name, other.name)
				change(other.name, one.name)
			}
		}
	}
	each(w.network.cut)
	w.after(w.between(cutLeast, cutMost), func() { each(w.network.mend) })
}

// afterVote sometimes crashes a voter whose vote has just left.
func (w *world) afterVote(m *machine) {
	if w.now >= w.faults.ending || !w.chance(w.faults.voteStrike) {
		return
	}
	process := m.process
	w.after(0, func() {
		if m.process == process && m.node != nil {
			w.count(FaultCrashAfterVote)
			m.crash()
			w.after(w.between(time.Millisecond, quickRestart), m.restart)
		}
	})
}

// afterElection sometimes strikes a leader before anybody holds its entries.
func (w *world) afterElection(m *machine) {
	if w.now >= w.faults.ending || !w.chance(w.faults.officeStrike) {
		return
	}
	process := m.process
	w.after(w.between(0, strikeDelay), func() {
		if m.process != process || m.node == nil || w.now >= w.faults.ending {
			return
		}
		w.count(FaultCrashElected)
		if w.chance(0.5) {
			m.crash()
			most := pick(w, []time.Duration{quickRestart, restartMost})
			w.after(w.between(restartLeast, most), m.restart)
			return
		}
		w.silence(m)
	})
}

// atFirstCommit sometimes silences a leader at the moment at which it learns of
// its first commit, before anybody else does.
func (w *world) atFirstCommit(m *machine) {
	if w.now >= w.faults.ending || !w.chance(w.faults.officeStrike) {
		return
	}
	w.count(FaultSilenced)
	w.silence(m)
}

// silence cuts what a machine sends to some or all of the others.
func (w *world) silence(m *machine) {
	share := pick(w, cutShares)
	for _, other := range w.machines {
		if w.chance(share) {
			w.network.cut(m.name, other.name)
		}
	}
	w.after(w.between(cutLeast, cutMost), func() { w.mendAll(m.name) })
}

// afterChange sometimes splits the group while a membership is under way.
func (w *world) afterChange() {
	if w.now >= w.faults.ending || !w.chance(w.faults.changeSplit) {
		return
	}
	if w.chance(0.5) {
		w.split() // before anybody has heard of the change
		return
	}
	w.after(w.between(0, strikeDelay), w.split)
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

// replaceable tells whether a machine votes and has no successor yet.
func (w *world) replaceable(m *machine) bool {
	if m.retiring || m.node == nil || !m.votes() {
		return false
	}
	return replacedBy(m.node.Status().Membership, joining{member: m.member(m.identity), replaces: m.replaces}) < 0
}

// replaceOne takes a machine away for good and starts another one elsewhere.
func (w *world) replaceOne() {
	if !w.mayLose() {
		return
	}
	old := w.target()
	if !w.replaceable(old) {
		return
	}
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

// swapOne starts a machine that is to take the place of one that still runs.
func (w *world) swapOne() {
	if !w.mayLose() {
		return
	}
	old := w.target()
	if !w.replaceable(old) {
		return
	}
	w.count(FaultSwap)
	old.retiring = true
	w.named++
	fresh := w.newMachine(fmt.Sprintf("control-%d", w.named), old.name)
	held, _ := fresh.store.Load()
	w.checks.owns(held.Identity, fresh)
	fresh.restart()
	w.retireLater(old)
}

// retireLater switches a replaced machine off some time after its removal.
func (w *world) retireLater(old *machine) {
	w.after(w.between(restartLeast, restartMost), func() {
		leader := w.leader()
		if leader == nil || leader.holds(old.identity) {
			w.retireLater(old)
			return
		}
		old.crash()
		old.gone = true
	})
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
	w.network.usual = 0
	w.network.calm()
	for _, m := range w.present() {
		if w.broken() {
			return
		}
		if m.node == nil {
			m.restart()
		} else {
			m.store.Plan(storage.CrashPlan{})
			m.stall = 0
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
		if m.retiring || !m.up() || !m.votes() {
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
		text += m.describe()
	}
	return text + w.stuckGateways()
}

func (m *machine) describe() string {
	status := m.node.Status()
	text := fmt.Sprintf("%s (%s, retiring %v) role %d term %d commit %d last %d serial %d, members", m.name, m.identity,
		m.retiring, status.Role, status.Term, status.Commit, status.LastIndex, m.state.serial())
	for _, member := range status.Membership.Members {
		text += fmt.Sprintf(" %s=%s", member.Name, member.ID)
		if member.Learner {
			text += "(learner)"
		}
	}
	return text + "; "
}
