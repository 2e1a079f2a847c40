package simulation

import "time"

// This file has the faults that follow directly on something that a machine did: a vote,
// an election, a commit, a change of the membership or an answer. They hit the moments
// at which a guarantee depends on few machines.

const (
	// maxQuickDowntime bounds the downtime of a machine that restarts quickly.
	maxQuickDowntime = 40 * time.Millisecond
	// maxFollowUpDelay bounds the time from what a machine did to the fault.
	maxFollowUpDelay = 40 * time.Millisecond
)

// changeSplitProbabilities are the values that the probability of a split during a
// change of the membership is drawn from, once for each history.
var changeSplitProbabilities = []float64{0.1, 0.6}

// voteCrashProbabilities and electionFaultProbabilities are the values that the
// probabilities of a crash after a vote and of a fault after an election are drawn from.
var (
	voteCrashProbabilities     = []float64{0.02, 0.05, 0.5}
	electionFaultProbabilities = []float64{0.05, 0.15, 0.7}
)

// afterVote sometimes crashes a voter right after it sent its vote.
func (w *world) afterVote(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.voteCrashProbability) {
		return
	}
	incarnation := m.incarnation
	w.schedule(0, func() {
		if m.incarnation == incarnation && m.node != nil {
			w.countFault(FaultCrashAfterVote)
			m.crash()
			w.schedule(w.between(time.Millisecond, maxQuickDowntime), m.restart)
		}
	})
}

// afterElection sometimes crashes or isolates a new leader before its entries are
// replicated.
func (w *world) afterElection(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.electionFaultProbability) {
		return
	}
	incarnation := m.incarnation
	w.schedule(w.between(0, maxFollowUpDelay), func() {
		if m.incarnation != incarnation || m.node == nil || w.now >= w.faults.end {
			return
		}
		w.countFault(FaultAfterElection)
		if w.chance(0.5) {
			m.crash()
			downtime := pick(w, []time.Duration{maxQuickDowntime, maxDowntime})
			w.schedule(w.between(minDowntime, downtime), m.restart)
			return
		}
		w.blockOutgoing(m)
	})
}

// atFirstCommit sometimes blocks the outgoing links of a leader when it learns of its
// first commit, before any other machine does.
func (w *world) atFirstCommit(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.electionFaultProbability) {
		return
	}
	w.countFault(FaultBlockedAtFirstCommit)
	w.blockOutgoing(m)
}

// afterChange sometimes splits the group while a change of the membership is in progress.
func (w *world) afterChange() {
	if w.now >= w.faults.end || !w.chance(w.faults.changeSplitProbability) {
		return
	}
	if w.chance(0.5) {
		w.splitGroup() // before the change reaches any other machine
		return
	}
	w.schedule(w.between(0, maxFollowUpDelay), w.splitGroup)
}

// afterAnswer sometimes wipes the primary's disk right after it acknowledged an
// operation.
func (w *world) afterAnswer(m *machine) {
	if w.now >= w.faults.end || !w.chance(wipeAfterAnswerProbability) {
		return
	}
	w.schedule(w.between(0, maxWipeDelay), func() {
		if w.now < w.faults.end && w.mayLoseDisk() {
			w.wipeDisk(m, FaultWipeAfterAnswer)
		}
	})
}
