package simulation

import (
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// FaultKind is the kind of an injected fault. The text is shown in reports.
type FaultKind string

// The kinds of injected faults.
const (
	FaultCrash                FaultKind = "crash"
	FaultCrashAtWrite         FaultKind = "crash before or after a write"
	FaultCrashAll             FaultKind = "crash of all machines"
	FaultFreeze               FaultKind = "freeze"
	FaultStallBeforeSend      FaultKind = "stall between disk write and send"
	FaultBlockOneWay          FaultKind = "one-way partition"
	FaultIsolate              FaultKind = "two-way partition of a machine"
	FaultLossyNetwork         FaultKind = "message loss, duplication and reordering"
	FaultWipe                 FaultKind = "wiped disk"
	FaultWipeAfterAnswer      FaultKind = "disk of the primary wiped after an answer"
	FaultReplace              FaultKind = "replacement at a new address"
	FaultTransfer             FaultKind = "leadership transfer"
	FaultCrashAfterVote       FaultKind = "crash right after a vote"
	FaultAfterElection        FaultKind = "crash or blocked outgoing links right after an election"
	FaultBlockedAtFirstCommit FaultKind = "outgoing links of the leader blocked at its first commit"
	FaultSplit                FaultKind = "group split in two"
	FaultPlannedReplace       FaultKind = "planned replacement of a running machine"
	FaultGatewayFreeze        FaultKind = "gateway frozen"
	FaultGatewayRestart       FaultKind = "gateway restarted"
	FaultGatewayIsolate       FaultKind = "gateway partitioned"
)

// Bounds of the intervals between faults and of their durations, and the worst
// conditions of a lossy network.
const (
	minFaultInterval = 60 * time.Millisecond
	maxFaultInterval = 700 * time.Millisecond
	minDowntime      = 20 * time.Millisecond
	maxDowntime      = 3 * time.Second
	minFreeze        = 50 * time.Millisecond
	maxFreeze        = 6 * time.Second
	minPartition     = 100 * time.Millisecond
	maxPartition     = 4 * time.Second
	minLossyPeriod   = 300 * time.Millisecond
	maxLossyPeriod   = 3 * time.Second
	maxLoss          = 0.3
	maxDuplication   = 0.2
	maxTailDelay     = 400 * time.Millisecond
	// maxWritesAhead bounds the number of writes until a scheduled crash.
	maxWritesAhead = 6
	// wipeAfterAnswerProbability is the probability that the primary's disk is wiped after
	// an answer.
	wipeAfterAnswerProbability = 0.3
	maxWipeDelay               = 50 * time.Millisecond
)

// blockProbabilities are the probabilities with which a fault of a leader's outgoing links
// blocks the link to each other machine.
var blockProbabilities = []float64{0.5, 1}

// intervalFactors multiply the intervals between faults. One is drawn for each history.
// Longer intervals are needed because with the shortest ones the group is rarely complete,
// so that few disks may be lost.
var intervalFactors = []time.Duration{1, 2, 4, 8}

// faultPlan is the configuration and state of fault injection in one history.
type faultPlan struct {
	// intervalFactor and the probabilities are drawn for each history.
	intervalFactor           time.Duration
	voteCrashProbability     float64
	electionFaultProbability float64
	changeSplitProbability   float64
	// voterCount is the number of voters of a complete group.
	voterCount int
	end        time.Duration
	// lostDisks is the set of identities whose disks were lost.
	lostDisks map[consensus.ID]bool
	injectors []weightedFault
}

// weightedFault is a fault with its relative frequency.
type weightedFault struct {
	kind   FaultKind
	weight int
	inject func()
}

// startFaults draws the fault plan and injects faults until the given time.
func (w *world) startFaults(end time.Duration) {
	w.faults.end = end
	w.faults.intervalFactor = pick(w, intervalFactors)
	w.faults.voteCrashProbability = pick(w, voteCrashProbabilities)
	w.faults.electionFaultProbability = pick(w, electionFaultProbabilities)
	w.faults.changeSplitProbability = pick(w, changeSplitProbabilities)
	w.faults.lostDisks = make(map[consensus.ID]bool)
	w.faults.injectors = []weightedFault{
		{FaultCrash, 12, w.crashMachine},
		{FaultCrashAtWrite, 14, w.scheduleCrashAtWrite},
		{FaultCrashAll, 1, w.crashAll},
		{FaultFreeze, 10, w.freezeMachine},
		{FaultStallBeforeSend, 10, w.stallMachine},
		{FaultBlockOneWay, 12, w.blockOneWay},
		{FaultIsolate, 8, w.isolateMachine},
		{FaultLossyNetwork, 8, w.lossyNetwork},
		{FaultWipe, 10, w.wipeTarget},
		{FaultReplace, 5, w.replaceMachine},
		{FaultTransfer, 4, w.transferLeadership},
		{FaultSplit, 6, w.splitGroup},
		{FaultPlannedReplace, 14, w.replaceRunningMachine},
		{FaultGatewayFreeze, 5, w.freezeGateway},
		{FaultGatewayRestart, 5, w.restartGateway},
		{FaultGatewayIsolate, 5, w.isolateGateway},
	}
	w.scheduleFault()
}

// scheduleFault injects faults at random intervals until the end of the fault plan.
func (w *world) scheduleFault() {
	w.schedule(w.faults.intervalFactor*w.between(minFaultInterval, maxFaultInterval), func() {
		if w.now >= w.faults.end {
			return
		}
		w.injectFault()
		w.scheduleFault()
	})
}

// injectFault injects one fault, drawn with probabilities proportional to the weights.
func (w *world) injectFault() {
	total := 0
	for _, choice := range w.faults.injectors {
		total += choice.weight
	}
	drawn := w.random.IntN(total)
	for _, choice := range w.faults.injectors {
		drawn -= choice.weight
		if drawn < 0 {
			choice.inject()
			return
		}
	}
}

func (w *world) countFault(kind FaultKind) {
	w.result.Faults[kind]++
}

// activeMachines returns the machines that have not been removed, whether they run or not.
func (w *world) activeMachines() []*machine {
	var present []*machine
	for _, m := range w.machines {
		if !m.removed {
			present = append(present, m)
		}
	}
	return present
}

// pickTarget draws a machine for a fault. It prefers the leader, because faults have the
// most effect there.
func (w *world) pickTarget() *machine {
	if leader := w.leader(); leader != nil && w.chance(0.4) {
		return leader
	}
	return pick(w, w.activeMachines())
}

// leader returns the running leader of the highest term, or nil.
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

func (w *world) transferLeadership() {
	leader := w.leader()
	if leader == nil || !leader.up() {
		return
	}
	to := pick(w, leader.node.Status().Membership.Members)
	if to.ID == leader.identity || leader.node.TransferLeadership(leader.clock(), to.ID) != nil {
		return
	}
	w.countFault(FaultTransfer)
	leader.processReady()
}
