package consensus

import "github.com/deckpulley/deckpulley/internal/defect"

// Deliberate faults that a simulation may inject, see Node.InjectDefects.
const (
	defectCommitOlderTerm    = defect.CommitOlderTerm
	defectTwoChanges         = defect.TwoMembershipChanges
	defectVoteIgnoresLog     = defect.VoteIgnoresLog
	defectContactFromArrival = defect.ContactFromArrival
	// defectTakeOverUncommitted lets a member take over although it does not know that its
	// newest membership is committed. defectLeaveWitnessesAlone commits a membership that
	// follows one with witnesses without both of its voters.
	defectTakeOverUncommitted = defect.TakeOverUncommitted
	defectLeaveWitnessesAlone = defect.LeaveWitnessesAlone
)

// InjectDefects enables deliberate faults. A simulation uses it to verify that its
// checks detect them. Code outside this module cannot construct a non-empty set.
func (n *Node) InjectDefects(defects defect.Set) {
	n.defects = defects
}
