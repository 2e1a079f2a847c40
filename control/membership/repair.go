package membership

import (
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

const (
	// ReachableTimeout is the time since its last response after which a member counts
	// as unreachable.
	ReachableTimeout = time.Second
	// catchUpDistance is the maximum number of committed entries that a learner may
	// lack when it is promoted to a voter.
	catchUpDistance = 64
	// ShrinkAfter is how long one of three voters must be unreachable, without a node that
	// replaces it, before it is removed and witnesses are appointed.
	ShrinkAfter = 3 * time.Second
	// minWitnesses and maxWitnesses bound the number of witnesses of two voters.
	minWitnesses = 3
	maxWitnesses = 15
	// LearnerTimeout is how long a learner may fail to respond before it is removed.
	LearnerTimeout = 10 * time.Second
)

// Repair determines the membership changes that lead to a complete group. Its results
// depend only on its fields.
type Repair struct {
	Now       time.Duration
	ElectedAt time.Duration    // when this leader was elected
	Status    consensus.Status // the leader's status
	Joins     []JoinRequest
	// FirstSeen is when this leader first saw each member in the membership.
	FirstSeen map[consensus.ID]time.Duration
	// Voters is the number of voters of a complete group.
	Voters int
	// ReplaceAfter is how long a voter must be unreachable before a node at a
	// different address may replace it.
	ReplaceAfter time.Duration
	// Witnesses are the processes that may be witnesses now, sorted: the gateways with a
	// lease.
	Witnesses []consensus.Witness
}

// Change is one step of a repair, which adds, removes or changes one member.
type Change struct {
	Membership consensus.Membership // the complete new membership
	Reason     string               // for the log
}

// Done reports whether the group is complete: there are enough voters, each is reachable
// and has all committed entries, there is no learner, and no membership change is in
// progress. Until the change that added a voter is committed, the loss of one more disk
// could undo it.
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

// Reachable reports whether a member has responded to this leader within
// ReachableTimeout.
func (r *Repair) Reachable(id consensus.ID) bool {
	if id == r.Status.ID {
		return true
	}
	contact, responded := r.Status.LastResponses[id]
	return responded && r.Now-contact <= ReachableTimeout
}

// CanAdmit reports whether the node that asks to join may become a voter: the group has
// too few, or has one that the node replaces.
func (r *Repair) CanAdmit(request JoinRequest) bool {
	if r.countVoters() < r.Voters {
		return true
	}
	_, found := r.replacedVoter(request)
	return found
}

// MayAdmitSoon reports whether the node that asks to join may become a voter unless the one
// that it would replace responds. It can enter the group meanwhile, so that it receives its
// copy as soon as it is added.
func (r *Repair) MayAdmitSoon(request JoinRequest) bool {
	for _, voter := range r.Status.Membership.Members {
		if voter.ID != request.Member.ID && replaceable(voter, request.Member) && !r.Reachable(voter.ID) {
			return true
		}
	}
	return false
}

// replaceable reports whether a member is a voter that a node may replace once it is lost.
func replaceable(voter, node consensus.Member) bool {
	return !voter.Learner && (voter.Address == node.Address || voter.Name == node.Name || voter.Zone == node.Zone)
}

// Next returns the next change, or false if none is possible or needed now. There is at
// most one learner at a time: it is promoted or removed before another is added.
func (r *Repair) Next() (Change, bool) {
	for _, member := range r.Status.Membership.Members {
		if member.Learner {
			return r.advanceLearner(member)
		}
	}
	for _, request := range r.Joins {
		if known, found := Find(r.Status.Membership, request.Member.ID); found {
			if known != request.Member {
				return r.replace(known, request.Member, "description of member "+known.Name+" updated")
			}
			continue
		}
		if r.CanAdmit(request) {
			return r.addLearner(request.Member)
		}
	}
	return r.appointWitnesses()
}

// advanceLearner returns the next change for the only learner. A learner that has failed or
// is no longer needed is removed. Once a learner has caught up, the voter that it replaces
// is removed, and with the next change the learner is promoted. While it catches up, the
// others may get witnesses as if there were none: a copy over a slow link or to a slow disk
// takes a while, and another voter may be lost meanwhile.
func (r *Repair) advanceLearner(learner consensus.Member) (Change, bool) {
	if r.superseded(learner) || r.idle(learner.ID) > LearnerTimeout {
		return r.remove(learner, "unresponsive learner "+learner.Name+" removed")
	}
	if !r.caughtUp(learner) {
		return r.appointWitnesses()
	}
	if replaced, found := r.replacedVoter(r.requestOf(learner)); found {
		return r.remove(replaced, "voter "+replaced.Name+" removed for its replacement")
	}
	if len(r.Status.Membership.Witnesses) > 0 && !r.Status.KnowWitnesses[learner.ID] {
		return Change{}, false
	}
	if r.countVoters() < r.Voters {
		promoted := learner
		promoted.Learner = false
		return r.replace(learner, promoted, "learner "+learner.Name+" promoted")
	}
	if r.replacesNobody(learner) {
		return r.remove(learner, "unneeded learner "+learner.Name+" removed")
	}
	return Change{}, false
}

// caughtUp reports whether a learner is reachable and lacks at most catchUpDistance
// committed entries.
func (r *Repair) caughtUp(learner consensus.Member) bool {
	match := r.Status.Match[learner.ID]
	return r.Reachable(learner.ID) && match > 0 && match+catchUpDistance >= r.Status.Commit
}

// idle returns the time since a member last responded to this leader. If it never did, the
// time counts from the election, or from the member's addition if that was later.
func (r *Repair) idle(id consensus.ID) time.Duration {
	if id == r.Status.ID {
		return 0
	}
	return r.Now - max(r.Status.LastResponses[id], r.FirstSeen[id], r.ElectedAt)
}

// replacesNobody reports whether every voter that the learner could replace is reachable
// again. Such a learner must be removed: the group would never be complete with it, and no
// other learner could be added.
func (r *Repair) replacesNobody(learner consensus.Member) bool {
	for _, voter := range r.Status.Membership.Members {
		if replaceable(voter, learner) && !r.Reachable(voter.ID) {
			return false
		}
	}
	return true
}

// superseded reports whether a learner is unreachable while a node with another disk asks
// to join from its address.
func (r *Repair) superseded(learner consensus.Member) bool {
	for _, request := range r.Joins {
		if request.Member.Address == learner.Address && request.Member.ID != learner.ID {
			return r.idle(learner.ID) > ReachableTimeout
		}
	}
	return false
}

// requestOf returns the join request of a learner. If the learner no longer asks, the
// request has a zero ReceivedAt, which is before every response of a voter.
func (r *Repair) requestOf(learner consensus.Member) JoinRequest {
	for _, request := range r.Joins {
		if request.Member.ID == learner.ID {
			return request
		}
	}
	return JoinRequest{Member: learner}
}

// replacedVoter returns the voter that a node replaces, and whether there is one. That is a
// voter at the node's own address that has not responded since the node asked to join: its
// disk is no longer there. Otherwise, if the group has enough voters, it is one with the
// node's name, or else one in the node's zone, that has been unreachable for ReplaceAfter.
func (r *Repair) replacedVoter(request JoinRequest) (consensus.Member, bool) {
	member := request.Member
	complete := r.countVoters() >= r.Voters
	matches := []func(voter consensus.Member) bool{
		func(voter consensus.Member) bool {
			return voter.Address == member.Address && r.Status.LastResponses[voter.ID] < request.ReceivedAt
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
	return r.change(append(members, member), "learner "+member.Name+" added")
}

func (r *Repair) remove(removed consensus.Member, reason string) (Change, bool) {
	var members []consensus.Member
	for _, member := range r.Status.Membership.Members {
		if member.ID != removed.ID {
			members = append(members, member)
		}
	}
	return r.change(members, reason)
}

// replace replaces the description of one member, and retains the order of the members.
func (r *Repair) replace(old, described consensus.Member, reason string) (Change, bool) {
	members := append([]consensus.Member(nil), r.Status.Membership.Members...)
	for i := range members {
		if members[i].ID == old.ID {
			members[i] = described
		}
	}
	return r.change(members, reason)
}

// change returns a change to the members. Two voters keep their witnesses, and the mark of a
// takeover stays until there is a second voter.
func (r *Repair) change(members []consensus.Member, reason string) (Change, bool) {
	next := consensus.Membership{Members: members}
	switch len(next.Voters()) {
	case 1:
		next.TakenOver = r.Status.Membership.TakenOver
	case witnessedVoters:
		next.Witnesses = r.Status.Membership.Witnesses
	}
	return Change{Membership: next, Reason: reason}, true
}
