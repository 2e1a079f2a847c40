package consensus

import "time"

// Role is a member's role in the group.
type Role uint8

// The roles of a member. A learner is a Follower.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a member's state, for operators and the driver.
type Status struct {
	ID        ID
	Role      Role
	Term      uint64
	Leader    ID // None if unknown
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Membership is the newest membership in the log, committed or not.
	Membership Membership
	// TakeOver is true if this member may take over with the votes of the witnesses of
	// Membership.
	TakeOver bool
	// SoleCopy is true at a leader that has taken over, until another voter has everything
	// that it has committed.
	SoleCopy bool
	// KnowWitnesses is true at a leader for the members that observe the rules of
	// memberships with witnesses. It is nil unless this member leads.
	KnowWitnesses map[ID]bool
	// MembershipCommitted is true at a leader that has committed an entry of its own
	// term and its newest membership. Only then would a successor have the same
	// committed log and Membership, so a membership change is complete only then.
	MembershipCommitted bool
	// Match has the highest index known to be on the disk of each member. It is nil
	// unless this member leads.
	Match map[ID]uint64
	// LastResponses has the time of the last response from each member that has responded
	// in this term. It is nil unless this member leads.
	LastResponses map[ID]time.Duration
}

// Status returns the member's current state. Its maps and slices are copies.
func (n *Node) Status() Status {
	status := Status{
		ID:         n.config.ID,
		Role:       n.role,
		Term:       n.term,
		Leader:     n.leader,
		Commit:     n.commit,
		Applied:    n.applied,
		LastIndex:  n.log.lastIndex(),
		Membership: n.membership().clone(),
	}
	_, status.TakeOver = n.survivable()
	if n.role == Leader {
		status.SoleCopy = n.soleCopy()
		status.KnowWitnesses = n.membersThatKnowWitnesses()
		status.Match = n.matchByMember()
		status.LastResponses = n.lastContactByMember()
		status.MembershipCommitted = n.membershipCommitted()
	}
	return status
}

// matchByMember returns the highest index known to be on each member's disk.
func (n *Node) matchByMember() map[ID]uint64 {
	match := map[ID]uint64{n.config.ID: n.log.stable}
	for id, member := range n.leadership.progress {
		match[id] = member.match
	}
	return match
}

func (n *Node) membersThatKnowWitnesses() map[ID]bool {
	know := map[ID]bool{n.config.ID: true}
	for id, member := range n.leadership.progress {
		know[id] = member.knowsWitnesses
	}
	return know
}

// lastContactByMember returns the time of the last response from each member; the
// leader's own time is the current time.
func (n *Node) lastContactByMember() map[ID]time.Duration {
	contact := map[ID]time.Duration{n.config.ID: n.now}
	for id, member := range n.leadership.progress {
		if member.responded {
			contact[id] = member.lastResponse
		}
	}
	return contact
}

// Leadership returns the current term and reports whether the node leads in it. It is
// cheaper than Status.
func (n *Node) Leadership() (term uint64, leading bool) {
	return n.term, n.role == Leader
}

// Leader returns the leader that this member knows, None if it knows none. It is cheaper than
// Status.
func (n *Node) Leader() ID { return n.leader }

// CurrentMembership returns the newest membership in the log, committed or not. It is cheaper
// than Status, which copies it: the caller must not change it, and must not use it after the
// next call of a method that changes this member.
func (n *Node) CurrentMembership() Membership { return n.membership() }
