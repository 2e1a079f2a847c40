package consensus

import "time"

// Membership changes (Raft thesis, section 4.1). Invariants:
//   - a membership is in effect as soon as it is in the log, committed or not
//   - successive memberships differ by one member, so their quorums overlap
//   - at most one membership is uncommitted, and a leader proposes one only after it has
//     committed an entry of its own term; otherwise, uncommitted changes by two leaders
//     could have quorums that do not overlap

// configuration is a membership and the index from which it is in effect.
type configuration struct {
	index      uint64
	membership Membership
}

// membership returns the membership in effect: the newest in the log.
func (n *Node) membership() Membership {
	if len(n.configurations) == 0 {
		return Membership{}
	}
	return n.configurations[len(n.configurations)-1].membership
}

// membershipAt returns the membership that was in effect at an index of the log.
func (n *Node) membershipAt(index uint64) Membership {
	var found Membership
	for _, configuration := range n.configurations {
		if configuration.index <= index {
			found = configuration.membership
		}
	}
	return found
}

// restoreConfigurations collects the memberships of the restored snapshot and log.
func (n *Node) restoreConfigurations() error {
	snapshot := n.log.snapshot
	n.configurations = []configuration{{index: snapshot.Index, membership: snapshot.Membership}}
	for _, entry := range n.log.entries {
		if entry.Index <= snapshot.Index || entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return err
		}
		n.configurations = append(n.configurations, configuration{entry.Index, membership})
	}
	return nil
}

// appendConfigurations puts the memberships among the new entries into effect. Step has
// already validated their encoding.
func (n *Node) appendConfigurations(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		if membership, err := DecodeMembership(entry.Data); err == nil {
			n.configurations = append(n.configurations, configuration{entry.Index, membership})
		}
	}
}

// truncateConfigurations drops the memberships at and after index from, at which the log
// is truncated, so that the one before takes effect again.
func (n *Node) truncateConfigurations(from uint64) {
	for len(n.configurations) > 1 && n.configurations[len(n.configurations)-1].index >= from {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
}

// compactConfigurations drops memberships that were superseded at or before index.
func (n *Node) compactConfigurations(index uint64) {
	for len(n.configurations) > 1 && n.configurations[1].index <= index {
		n.configurations = n.configurations[1:]
	}
}

// ProposeMembership appends a membership that differs from the current one by a single
// member, and returns the entry's index and term, see Propose. The membership takes
// effect at once. In addition to the errors of Propose it returns ErrMembershipInvalid,
// ErrMembershipPending or ErrMembershipMultipleChanges.
func (n *Node) ProposeMembership(now time.Duration, membership Membership) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if err := membership.Validate(); err != nil {
		return 0, 0, err
	}
	if err := n.checkMembershipChange(membership); err != nil {
		return 0, 0, err
	}
	membership.Epoch = n.nextEpoch(membership)
	data, err := EncodeMembership(membership)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(EntryMembership, data)
	n.configurations = append(n.configurations, configuration{index, membership.clone()})
	n.leadership.trackMembers(n)
	return index, n.term, nil
}

// checkMembershipChange enforces the invariants above for a proposed membership.
func (n *Node) checkMembershipChange(membership Membership) error {
	if n.defects.Has(defectTwoChanges) {
		return nil
	}
	if !n.membershipCommitted() {
		return ErrMembershipPending
	}
	if countChanges(n.membership(), membership) > 1 {
		return ErrMembershipMultipleChanges
	}
	return nil
}

// membershipCommitted reports whether the newest membership and an entry of the leader's
// current term are committed.
func (n *Node) membershipCommitted() bool {
	if len(n.configurations) > 0 && n.configurations[len(n.configurations)-1].index > n.commit {
		return false
	}
	term, _ := n.log.term(n.commit)
	return term == n.term
}

// stepDownIfRemoved makes the leader step down if it is not a voter of the committed
// membership. First it sends the others the commit index, since no other member knows
// yet that the membership is committed, and asks the most up-to-date voter to start an
// election, which avoids waiting for an election timeout.
func (n *Node) stepDownIfRemoved() {
	newest := n.configurations[len(n.configurations)-1]
	if newest.index > n.commit || newest.membership.isVoter(n.config.ID) {
		return
	}
	n.replicateToAll()
	if successor := n.mostUpToDateVoter(); successor != None {
		n.send(Message{Kind: MessageTimeoutNow, To: successor})
	}
	n.becomeFollower(n.term, None)
}

// mostUpToDateVoter returns the other voter with the highest match index, or None if
// there is no other voter.
func (n *Node) mostUpToDateVoter() ID {
	best := None
	var match uint64
	for _, member := range n.membership().Members {
		other := n.leadership.progress[member.ID]
		if member.Learner || other == nil {
			continue
		}
		if best == None || other.match > match {
			best = member.ID
			match = other.match
		}
	}
	return best
}
