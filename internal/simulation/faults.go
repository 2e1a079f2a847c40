package simulation

import (
	"time"

	"github.com/deckpulley/deckpulley/consensus"
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
	FaultLossyNetwork    FaultKind = "loss, doubling and reordering"
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

// Bounds of the pauses between faults and of the length of each kind, and how bad
// a lossy network gets: shares of the messages, and the longest extra delay.
const (
	faultLeast    = 60 * time.Millisecond
	faultMost     = 700 * time.Millisecond
	restartLeast  = 20 * time.Millisecond
	restartMost   = 3 * time.Second
	freezeLeast   = 50 * time.Millisecond
	freezeMost    = 6 * time.Second
	cutLeast      = 100 * time.Millisecond
	cutMost       = 4 * time.Second
	lossyLeast    = 300 * time.Millisecond
	lossyMost     = 3 * time.Second
	worstLoss     = 0.3
	worstDoubling = 0.2
	worstTail     = 400 * time.Millisecond
	// writesAhead is how many writes ahead a power cut is planned.
	writesAhead = 6
	// wipeAfterAnswer is the chance that an answer is followed by a loss.
	wipeAfterAnswer = 0.3
	wipeDelayMost   = 50 * time.Millisecond
)

// cutShares are the shares of the others that a struck leader no longer reaches.
var cutShares = []float64{0.5, 1}

// paces are how many times rarer than at most faults come, drawn for each
// history: where faults come at most speed the group is seldom whole, so that few
// disks may be lost.
var paces = []time.Duration{1, 2, 4, 8}

// faultPlan is what the injector of faults keeps.
type faultPlan struct {
	pace           time.Duration
	voteStrike     float64
	electionStrike float64
	changeSplit    float64
	// size is the number of voters that the group is to have.
	size   int
	ending time.Duration
	// lost holds the identities whose disks are gone.
	lost  map[consensus.ID]bool
	kinds []weightedFault
}

type weightedFault struct {
	kind   FaultKind
	weight int
	inject func()
}

// startFaults injects faults until the end.
func (w *world) startFaults(end time.Duration) {
	w.faults.ending = end
	w.faults.pace = pick(w, paces)
	w.faults.voteStrike = pick(w, voteStrikes)
	w.faults.electionStrike = pick(w, electionStrikes)
	w.faults.changeSplit = pick(w, changeSplits)
	w.faults.lost = make(map[consensus.ID]bool)
	w.faults.kinds = []weightedFault{
		{FaultCrash, 12, w.crashOne},
		{FaultCrashAtWrite, 14, w.planCrash},
		{FaultCrashAll, 1, w.crashAll},
		{FaultFreeze, 10, w.freezeOne},
		{FaultStall, 10, w.stallOne},
		{FaultCutOneWay, 12, w.cutOneWay},
		{FaultIsolate, 8, w.isolateOne},
		{FaultLossyNetwork, 8, w.lossyNetwork},
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
	for _, choice := range w.faults.kinds {
		total += choice.weight
	}
	drawn := w.random.IntN(total)
	for _, choice := range w.faults.kinds {
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
		if term, leading := m.node.Leadership(); leading && term > bestTerm {
			best, bestTerm = m, term
		}
	}
	return best
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
