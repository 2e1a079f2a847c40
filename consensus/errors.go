package consensus

import "errors"

// Errors of Node's methods. Test for them with errors.Is.
var (
	// ErrNotLeader means that the node does not lead, and only a leader can do this.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrLeadershipTransfer means that a leadership transfer is in progress, during
	// which nothing is proposed.
	ErrLeadershipTransfer = errors.New("consensus: leadership is being transferred")
	// ErrMembershipPending means that the previous membership change is not committed
	// yet, or that the leader has not committed an entry of its own term.
	ErrMembershipPending = errors.New("consensus: a membership change is pending")
	// ErrMembershipMultipleChanges means that the proposed membership differs
	// from the present one by more than one member.
	ErrMembershipMultipleChanges = errors.New("consensus: a membership change may touch one member only")
	// ErrMembershipInvalid means that a membership has an empty or duplicate identity,
	// has no voter, or cannot be decoded.
	ErrMembershipInvalid = errors.New("consensus: membership is invalid")
	// ErrNotVoter means that the target of a leadership transfer is not a voter, or is
	// the leader itself.
	ErrNotVoter = errors.New("consensus: not a voter of the group")
	// ErrMisaddressed means that a message is for another identity, for instance the
	// one that this member's disk had before it was wiped.
	ErrMisaddressed = errors.New("consensus: message is for another member")
	// ErrMalformed means that no correct member sends such a message.
	ErrMalformed = errors.New("consensus: malformed message")
	// ErrCompacted means that the newest snapshot covers the index already.
	ErrCompacted = errors.New("consensus: index is compacted already")
	// ErrNotApplied means that the state machine has not applied the index yet.
	ErrNotApplied = errors.New("consensus: index is not applied yet")
	// ErrInvalidConfig means that the restored state is inconsistent, or that the Config
	// has no ID.
	ErrInvalidConfig = errors.New("consensus: configuration is invalid")
)
