package membership

import (
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

const (
	// ReachableTimeout is the greatest age of a reachable member's last response.
	ReachableTimeout = time.Second
	// catchUpDistance is the number of entries that a learner may lack to be promoted.
	catchUpDistance = 64
	// LearnerTimeout is how long a learner may fail to respond before it is removed.
	LearnerTimeout = 10 * time.Second
)

// Repair decides the next membership. It is a pure function of its fields.
type Repair struct {
	Now     time.Duration
	Elected time.Duration    // when this leader was elected
	Status  consensus.Status // of the leader
	Joins   []JoinRequest
	// FirstSeen is when this leader first saw each member in the membership.
	FirstSeen map[consensus.ID]time.Duration
	// Voters is the number of voters of a complete group.
	Voters int
	// ReplaceAfter is how long a voter must be unreachable before a node with
	// another address may replace it.
	ReplaceAfter time.Duration
}

// Change is the next step of a repair: one member added, removed or changed.
type Change struct {
	Membership consensus.Membership
	Reason     string
}

// Done is true if the group is complete: enough voters, each reachable and with
// everything committed, no learner, and no membership change in progress. A new
// voter whose entry is not committed could lose its vote with one more disk.
func (r *Repair) Done() bool {
	if !r.Status.MembershipCommitted {
		return false
	}
	voters := 0
	for _, member := range r.Status.Membership.Members {
		if member.Learner || !r.Reachable(member.ID) {
			return false
		}
		if r.Status.Match[member.ID] < r.Status.Commit {
			return false
		}
		voters++
	}
	return voters >= r.Voters
}

// Reachable is true if a member has responded in this term, and lately.
func (r *Repair) Reachable(id consensus.ID) bool {
	if id == r.Status.ID {
		return true
	}
	contact, responded := r.Status.LastContact[id]
	return responded && r.Now-contact <= ReachableTimeout
}

// CanAdmit is true if the group lacks a voter, or has one that the node replaces.
func (r *Repair) CanAdmit(request JoinRequest) bool {
	if r.countVoters() < r.Voters {
		return true
	}
	_, found := r.replacedVoter(request)
	return found
}

// Next returns the next change, or false if there is none to make now. There is
// at most one learner: it becomes a voter or is removed before the next is added.
func (r *Repair) Next() (Change, bool) {
	for _, member := range r.Status.Membership.Members {
		if member.Learner {
			return r.advanceLearner(member)
		}
	}
	for _, request := range r.Joins {
		if known, found := Find(r.Status.Membership, request.Member.ID); found {
			if known != request.Member {
				return r.replace(known, request.Member, "member "+known.Name+" described anew")
			}
			continue
		}
		if r.CanAdmit(request) {
			return r.addLearner(request.Member)
		}
	}
	return Change{}, false
}

// advanceLearner takes the one learner a step on: if it is gone or no longer
// needed, it is removed; once it has caught up, the voter that it replaces is
// removed first, and then it is promoted.
func (r *Repair) advanceLearner(learner consensus.Member) (Change, bool) {
	if r.superseded(learner) || r.idle(learner.ID) > LearnerTimeout {
		return r.remove(learner, "learner "+learner.Name+" is gone")
	}
	if !r.caughtUp(learner) {
		return Change{}, false
	}
	if replaced, found := r.replacedVoter(r.requestOf(learner)); found {
		return r.remove(replaced, "voter "+replaced.Name+" replaced")
	}
	if r.countVoters() < r.Voters {
		promoted := learner
		promoted.Learner = false
		return r.replace(learner, promoted, "learner "+learner.Name+" promoted")
	}
	if r.replacesNobody(learner) {
		return r.remove(learner, "learner "+learner.Name+" has no place")
	}
	return Change{}, false
}

func (r *Repair) caughtUp(learner consensus.Member) bool {
	match := r.Status.Match[learner.ID]
	return r.Reachable(learner.ID) && match > 0 && match+catchUpDistance >= r.Status.Commit
}

// idle is how long a member has not responded to this leader, counted from the
// election, or from the member's adding, if it never did.
func (r *Repair) idle(id consensus.ID) time.Duration {
	if id == r.Status.ID {
		return 0
	}
	return r.Now - max(r.Status.LastContact[id], r.FirstSeen[id], r.Elected)
}

// replacesNobody is true if every voter that the learner could replace responds:
// the one that it came for is back. The learner would keep the group from ever
// being complete, and others from being added.
func (r *Repair) replacesNobody(learner consensus.Member) bool {
	for _, voter := range r.Status.Membership.Members {
		replaceable := voter.Address == learner.Address || voter.Name == learner.Name || voter.Zone == learner.Zone
		if replaceable && !voter.Learner && !r.Reachable(voter.ID) {
			return false
		}
	}
	return true
}

// superseded is true if another disk asks to join at the learner's address.
func (r *Repair) superseded(learner consensus.Member) bool {
	for _, request := range r.Joins {
		if request.Member.Address == learner.Address && request.Member.ID != learner.ID {
			return r.idle(learner.ID) > ReachableTimeout
		}
	}
	return false
}

// requestOf is the request of a learner. One that no longer asks counts as
// having asked before every response of the others.
func (r *Repair) requestOf(learner consensus.Member) JoinRequest {
	for _, request := range r.Joins {
		if request.Member.ID == learner.ID {
			return request
		}
	}
	return JoinRequest{Member: learner}
}

// replacedVoter is the voter that a node replaces: one at its own address that
// has not responded since the node asked, so its disk is gone from there; else one
// of its name, else one of its zone, that has been unreachable for long enough.
func (r *Repair) replacedVoter(request JoinRequest) (consensus.Member, bool) {
	member := request.Member
	complete := r.countVoters() >= r.Voters
	matches := []func(voter consensus.Member) bool{
		func(voter consensus.Member) bool {
			return voter.Address == member.Address && r.Status.LastContact[voter.ID] < request.ReceivedAt
		},
		func(voter consensus.Member) bool {
			return complete && voter.Name == member.Name && r.unreachable(voter)
		},
		func(voter consensus.Member) bool {
			return complete && voter.Zone == member.Zone && r.unreachable(voter)
		},
	}
	for _, match := range matches {
		for _, voter := range r.Status.Membership.Members {
			if !voter.Learner && voter.ID != member.ID && voter.ID != r.Status.ID && match(voter) {
				return voter, true
			}
		}
	}
	return consensus.Member{}, false
}

func (r *Repair) unreachable(member consensus.Member) bool {
	return r.idle(member.ID) >= r.ReplaceAfter
}

func (r *Repair) countVoters() int {
	count := 0
	for _, member := range r.Status.Membership.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (r *Repair) addLearner(member consensus.Member) (Change, bool) {
	member.Learner = true
	members := append([]consensus.Member(nil), r.Status.Membership.Members...)
	return change(append(members, member), "learner "+member.Name+" added")
}

func (r *Repair) remove(removed consensus.Member, reason string) (Change, bool) {
	var members []consensus.Member
	for _, member := range r.Status.Membership.Members {
		if member.ID != removed.ID {
			members = append(members, member)
		}
	}
	return change(members, reason)
}

// replace changes one member's description. The order of the members stays.
func (r *Repair) replace(old, described consensus.Member, reason string) (Change, bool) {
	members := append([]consensus.Member(nil), r.Status.Membership.Members...)
	for i := range members {
		if members[i].ID == old.ID {
			members[i] = described
		}
	}
	return change(members, reason)
}

func change(members []consensus.Member, reason string) (Change, bool) {
	return Change{Membership: consensus.Membership{Members: members}, Reason: reason}, true
}
