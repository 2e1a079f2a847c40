package consensus

import "errors"

// Errors of Node's methods. They are compared with errors.Is.
var (
	// ErrNotLeader means that only the leader can do this, and the node is not it.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrLeadershipTransfer means that a transfer of the leadership is under way.
	ErrLeadershipTransfer = errors.New("consensus: leadership is being transferred")
	// ErrMembershipPending means that the previous change is not committed, or
	// that the leader has not committed an entry of its own term yet.
	ErrMembershipPending = errors.New("consensus: a membership change is pending")
	// ErrMembershipMultipleChanges means that the change touches more than one member.
	ErrMembershipMultipleChanges = errors.New("consensus: a membership change may touch one member only")
	// ErrMembershipInvalid means an empty or doubled identity, or no voter at all.
	ErrMembershipInvalid = errors.New("consensus: membership is invalid")
	// ErrNotVoter means that the target of a transfer does not vote.
	ErrNotVoter = errors.New("consensus: not a voter of the group")
	// ErrMisaddressed means that a message is for another identity, for instance
	// for the one that a wiped disk used to have.
	ErrMisaddressed = errors.New("consensus: message is for another member")
	// ErrMalformed means that a message cannot have come from a correct member.
	ErrMalformed = errors.New("consensus: malformed message")
	// ErrCompacted means that a snapshot reaches as far already.
	ErrCompacted = errors.New("consensus: a snapshot reaches as far already")
	// ErrNotApplied means that the index is not applied yet.
	ErrNotApplied = errors.New("consensus: index is not applied yet")
	// ErrInvalidConfig means that the restored state or a setting makes no sense.
	ErrInvalidConfig = errors.New("consensus: configuration is invalid")
)
