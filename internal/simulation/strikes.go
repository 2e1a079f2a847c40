package simulation

import "time"

// Faults that follow at once on what a machine just did: a vote, an election, a
// commit, a change of the membership or an answer.

const (
	maxQuickDowntime = 40 * time.Millisecond
	maxFollowUpDelay = 40 * time.Millisecond
)

// changeSplitProbabilities are the chances that a change of the membership meets a split.
var changeSplitProbabilities = []float64{0.1, 0.6}

// voteCrashProbabilities and electionFaultProbabilities are the chances that a vote is followed by a
// crash of the voter, and an election by a fault of the new leader.
var (
	voteCrashProbabilities     = []float64{0.02, 0.05, 0.5}
	electionFaultProbabilities = []float64{0.05, 0.15, 0.7}
)

// afterVote sometimes crashes a voter whose vote has just left.
func (w *world) afterVote(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.voteCrashProbability) {
		return
	}
	process := m.incarnation
	w.schedule(0, func() {
		if m.incarnation == process && m.node != nil {
			w.countFault(FaultCrashAfterVote)
			m.crash()
			w.schedule(w.between(time.Millisecond, maxQuickDowntime), m.restart)
		}
	})
}

// afterElection sometimes strikes a leader before anybody holds its entries.
func (w *world) afterElection(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.electionFaultProbability) {
		return
	}
	process := m.incarnation
	w.schedule(w.between(0, maxFollowUpDelay), func() {
		if m.incarnation != process || m.node == nil || w.now >= w.faults.end {
			return
		}
		w.countFault(FaultAfterElection)
		if w.chance(0.5) {
			m.crash()
			most := pick(w, []time.Duration{maxQuickDowntime, maxDowntime})
			w.schedule(w.between(minDowntime, most), m.restart)
			return
		}
		w.blockOutgoing(m)
	})
}

// atFirstCommit sometimes silences a leader at the moment at which it learns of
// its first commit, before anybody else does.
func (w *world) atFirstCommit(m *machine) {
	if w.now >= w.faults.end || !w.chance(w.faults.electionFaultProbability) {
		return
	}
	w.countFault(FaultBlockedAtFirstCommit)
	w.blockOutgoing(m)
}

// afterChange sometimes splits the group while a membership is under way.
func (w *world) afterChange() {
	if w.now >= w.faults.end || !w.chance(w.faults.changeSplitProbability) {
		return
	}
	if w.chance(0.5) {
		w.splitGroup() // before anybody has heard of the change
		return
	}
	w.schedule(w.between(0, maxFollowUpDelay), w.splitGroup)
}

// afterAnswer sometimes wipes the primary's disk right after an answer.
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
