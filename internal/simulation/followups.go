package simulation

import "time"

// This file contains the faults that are triggered by an action of a machine: a vote, an
// election, a commit, a change of the membership or an answer. At these times a guarantee
// depends on few machines.

const (
	// maxQuickDowntime bounds the downtime of a machine that restarts quickly.
	maxQuickDowntime = 40 * time.Millisecond
	// maxFollowUpDelay bounds the time from the action of a machine to the fault.
	maxFollowUpDelay = 40 * time.Millisecond
)

// changeSplitProbabilities are the values from which the probability of a partition during
// a change of the membership is drawn, once for each history.
var changeSplitProbabilities = []float64{0.1, 0.6}

// voteCrashProbabilities and electionFaultProbabilities are the values from which the
// probabilities of a crash after a vote and of a fault after an election are drawn, once
// for each history.
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

// atFirstCommit sometimes blocks the outgoing links of a leader when it commits the first
// entries of its term, before any other machine is notified of the commit.
func (w *world) atFirstCommit(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.electionFaultProbability) {
		return
	}
	w.countFault(FaultBlockedAtFirstCommit)
	w.blockOutgoing(m)
}

// afterChange sometimes partitions the group while a change of the membership is in
// progress.
func (w *world) afterChange() {
	if w.now >= w.faults.end || !w.chance(w.faults.changeSplitProbability) {
		return
	}
	if w.chance(0.5) {
		w.splitGroup() // before any other machine receives the change
		return
	}
	w.schedule(w.between(0, maxFollowUpDelay), w.splitGroup)
}

// afterAnswer sometimes wipes the primary's disk right after the primary acknowledged an
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
