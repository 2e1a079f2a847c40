package consensus

import "github.com/deckpulley/deckpulley/internal/defect"

// Deliberate faults that a simulation may inject, see Node.InjectDefects.
const (
	defectCommitOlderTerm    = defect.CommitOlderTerm
	defectTwoChanges         = defect.TwoMembershipChanges
	defectVoteIgnoresLog     = defect.VoteIgnoresLog
	defectContactFromArrival = defect.ContactFromArrival
)

// InjectDefects switches deliberate faults on, for the simulation that proves that
// its checks find them. A non-empty set cannot be made outside of this module.
func (n *Node) InjectDefects(defects defect.Set) {
	n.defects = defects
}
