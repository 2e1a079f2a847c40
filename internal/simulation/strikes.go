package simulation

import "time"

// Faults that follow at once on what a machine just did: a vote, an election, a
// commit, a change of the membership or an answer.

const (
	quickRestart = 40 * time.Millisecond
	strikeDelay  = 40 * time.Millisecond
)

// changeSplits are the chances that a change of the membership meets a split.
var changeSplits = []float64{0.1, 0.6}

// voteStrikes and electionStrikes are the chances that a vote is followed by a
// crash of the voter, and an election by a fault of the new leader.
var (
	voteStrikes     = []float64{0.02, 0.05, 0.5}
	electionStrikes = []float64{0.05, 0.15, 0.7}
)

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
	if w.now >= w.faults.ending || !w.chance(w.faults.electionStrike) {
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
	if w.now >= w.faults.ending || !w.chance(w.faults.electionStrike) {
		return
	}
	w.count(FaultSilenced)
	w.silence(m)
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
