package consensus

import "errors"

// Errors of Node's methods. Test for them with errors.Is.
var (
	// ErrNotLeader means that the operation requires the leader, which this node is not.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrLeadershipTransfer means that a leadership transfer is in progress, during
	// which the leader accepts no proposals.
	ErrLeadershipTransfer = errors.New("consensus: leadership is being transferred")
	// ErrMembershipPending means that the previous membership change is not committed
	// yet, or that the leader has not committed an entry of its term yet.
	ErrMembershipPending = errors.New("consensus: a membership change is pending")
	// ErrMembershipMultipleChanges means that the proposed membership differs
	// from the current one by more than one member.
	ErrMembershipMultipleChanges = errors.New("consensus: a membership change must affect only one member")
	// ErrMembershipInvalid means that a membership has an empty or duplicate identity,
	// has no voter, or cannot be decoded.
	ErrMembershipInvalid = errors.New("consensus: membership is invalid")
	// ErrCannotTakeOver means that the newest membership has not two voters with witnesses,
	// is not committed at this member, or has another epoch than the votes.
	ErrCannotTakeOver = errors.New("consensus: this member must not take over")
	// ErrLeaderPresent means that a takeover is not needed.
	ErrLeaderPresent = errors.New("consensus: there is a leader")
	// ErrNotVoter means that the target of a leadership transfer is not a voter, or is
	// the leader itself.
	ErrNotVoter = errors.New("consensus: not a voter of the group")
	// ErrMisaddressed means that a message is addressed to another identity, for example
	// the one that this member had before its disk was wiped.
	ErrMisaddressed = errors.New("consensus: message is addressed to another member")
	// ErrMalformed means that a message is one that no correct member sends.
	ErrMalformed = errors.New("consensus: malformed message")
	// ErrCompacted means that the newest snapshot already covers the index.
	ErrCompacted = errors.New("consensus: index is already compacted")
	// ErrNotApplied means that the state machine has not applied the index yet.
	ErrNotApplied = errors.New("consensus: index is not applied yet")
	// ErrInvalidConfig means that the restored state is inconsistent, or that the Config
	// has no ID.
	ErrInvalidConfig = errors.New("consensus: configuration is invalid")
)
