package consensus

import (
	"math"
	"slices"
	"time"
)

// Takeover. Two voters commit nothing while one of them is lost. If their membership has
// witnesses, a majority of these may let one of the two go on alone. An epoch is the time in
// which voters and witnesses stay the same. Invariants:
//   - in an epoch, and until the membership that ends it is committed, each commit and each
//     election needs both voters; so a voter that knows of no later epoch has every committed
//     entry, and knows the term of every leader
//   - a voter takes over only in an epoch whose membership is committed, and two voters that
//     both may are in the same epoch, in which a witness votes once; so only one of them
//     takes over

// survivable returns the membership in effect, and whether this member may take over in it:
// it is one of two voters with witnesses, and a membership of the same epoch is committed.
func (n *Node) survivable() (Membership, bool) {
	current := n.membership()
	if current.Epoch == 0 || !current.isVoter(n.config.ID) {
		return current, false
	}
	committed := n.membershipAt(n.commit).Epoch == current.Epoch
	return current, committed || n.defects.Has(defectTakeOverUncommitted)
}

// nextEpoch returns the epoch of a membership that is about to be appended. It is that of the
// membership in effect while voters and witnesses stay the same.
func (n *Node) nextEpoch(next Membership) uint64 {
	current := n.membership()
	switch {
	case len(next.Witnesses) == 0:
		return 0
	case slices.Equal(next.Witnesses, current.Witnesses) && slices.Equal(next.Voters(), current.Voters()):
		return current.Epoch
	default:
		return n.log.lastIndex() + 1
	}
}

// TakeOver makes this member the leader of a group of which it is the only voter. The
// caller must have the votes of a majority of the witnesses of the membership of the epoch.
// It returns ErrCannotTakeOver if that is not the newest membership, or not committed here,
// and ErrLeaderPresent if this member hears from a leader.
func (n *Node) TakeOver(now time.Duration, epoch uint64) error {
	n.advanceClock(now)
	if n.hasCurrentLeader() {
		return ErrLeaderPresent
	}
	current, eligible := n.survivable()
	if !eligible || current.Epoch != epoch {
		return ErrCannotTakeOver
	}
	self, _ := current.member(n.config.ID)
	alone := Membership{Members: []Member{self}, TakenOver: true}
	data, err := EncodeMembership(alone)
	if err != nil {
		return err
	}
	n.term++
	n.vote = n.config.ID
	n.becomeLeader()
	n.configurations = append(n.configurations, configuration{n.appendEntry(EntryMembership, data), alone})
	n.leadership.trackMembers(n)
	return nil
}

// requiredVoters returns the voters without which nothing may be committed, and nobody
// elected, whatever the quorum is: until a membership that follows one with witnesses is
// committed, these are the voters of that one, unless the membership was made by a takeover.
func (n *Node) requiredVoters() []Member {
	for i := 1; i < len(n.configurations); i++ {
		previous, next := n.configurations[i-1].membership, n.configurations[i]
		leaves := previous.Epoch != 0 && next.membership.Epoch != previous.Epoch && !next.membership.TakenOver
		if leaves && next.index > n.commit && !n.defects.Has(defectLeaveWitnessesAlone) {
			return previous.Voters()
		}
	}
	return nil
}

// commitLimit returns the highest index that all requiredVoters have on disk.
func (n *Node) commitLimit() uint64 {
	limit := uint64(math.MaxUint64)
	for _, voter := range n.requiredVoters() {
		limit = min(limit, n.matchOf(voter.ID))
	}
	return limit
}

// requiredVotesGranted reports whether all requiredVoters have granted the pre-vote or vote.
func (n *Node) requiredVotesGranted() bool {
	for _, voter := range n.requiredVoters() {
		if !n.votes[voter.ID] {
			return false
		}
	}
	return true
}

// requiredContact returns the earliest of the send times of the newest rounds that the
// requiredVoters have acknowledged. It returns false if one of them has acknowledged none.
func (n *Node) requiredContact() (time.Duration, bool) {
	earliest := time.Duration(math.MaxInt64)
	for _, voter := range n.requiredVoters() {
		if voter.ID == n.config.ID {
			continue
		}
		member := n.leadership.progress[voter.ID]
		if member == nil || member.acknowledgedRound == 0 {
			return 0, false
		}
		earliest = min(earliest, member.acknowledgedRoundSentAt)
	}
	return earliest, true
}

// matchOf returns the highest index known to be on a member's disk; 0 for others.
func (n *Node) matchOf(id ID) uint64 {
	if id == n.config.ID {
		return n.log.stable
	}
	member := n.leadership.progress[id]
	if member == nil {
		return 0
	}
	return member.match
}

// soleCopy reports whether entries that this leader commits may be on its disk alone.
func (n *Node) soleCopy() bool {
	for i, configuration := range n.configurations {
		newest := i == len(n.configurations)-1
		replaced := !newest && n.configurations[i+1].index <= n.commit
		if configuration.membership.TakenOver && !replaced {
			return true
		}
	}
	return false
}
