package consensus

import "github.com/deckpulley/deckpulley/internal/defect"

// Deliberate faults that a simulation may plant, see Node.Plant.
const (
	defectCommitOlderTerm = defect.CommitOlderTerm
	defectTwoChanges      = defect.TwoMembershipChanges
	defectVoteIgnoresLog  = defect.VoteIgnoresLog
	defectFreshContact    = defect.ContactFromArrival
)
