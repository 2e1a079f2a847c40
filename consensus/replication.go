package consensus

import "time"

// Replication. Invariant: the leader commits an entry only when a quorum of voters has
// it on disk and it belongs to the leader's own term. An entry of an earlier term is
// committed along with a later entry of the leader's own term (Raft, section 5.4.2).

// Propose appends an entry with data to the log and returns its index and term. The
// entry is committed if and only if Ready.CommittedEntries later contains an entry with
// this index and term. Propose returns ErrNotLeader or ErrLeadershipTransfer.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(EntryNormal, data), n.term, nil
}

// checkCanPropose returns nil if the member leads and no leadership transfer is in
// progress. If the member leads but has lost its quorum, it steps down first.
func (n *Node) checkCanPropose() error {
	if n.role == Leader {
		n.checkQuorum()
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	n.expireTransfer()
	if n.leadership.transferTo != None {
		return ErrLeadershipTransfer
	}
	return nil
}

// appendEntry appends an entry to the leader's own log. The next Ready sends it.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.replicatePending = true
	return entry.Index
}

// replicateToAll sends every other member the entries that it lacks. It does nothing
// unless this member leads: it may have been deposed since replicatePending was set.
func (n *Node) replicateToAll() {
	if n.role != Leader {
		return
	}
	for _, member := range n.membership().Members {
		if other := n.leadership.progress[member.ID]; other != nil {
			n.replicate(member.ID, other)
		}
	}
}

// replicate sends a member the entries and the commit index that it lacks, as far as
// flow control permits.
func (n *Node) replicate(to ID, member *progress) {
	for member.next <= n.log.lastIndex() && n.sendAppend(to, member, false) {
	}
	if member.state == progressReplicate && member.sentCommit < n.commit {
		n.sendAppend(to, member, true)
	}
}

// sendAppend sends a member one append that starts at its next index, or a snapshot if
// that index is compacted. An append without entries is sent only if permitEmpty is set.
// sendAppend reports whether another append may follow at once.
func (n *Node) sendAppend(to ID, member *progress, permitEmpty bool) bool {
	if n.isPaused(member) {
		return false
	}
	previousTerm, known := n.log.term(member.next - 1)
	if !known || member.next <= n.log.boundaryIndex {
		n.sendSnapshot(to, member)
		return false
	}
	entries := n.log.slice(member.next, n.log.lastIndex(), n.config.MaxAppendBytes)
	if len(entries) == 0 && !permitEmpty {
		return false
	}
	n.send(Message{
		Kind:           MessageAppend,
		To:             to,
		Index:          member.next - 1,
		LogTerm:        previousTerm,
		Commit:         n.commit,
		Entries:        entries,
		HeartbeatRound: n.leadership.round,
	})
	member.sentCommit = n.commit
	if member.state == progressProbe {
		member.probeInFlight = true
		return false
	}
	if len(entries) > 0 {
		last := entries[len(entries)-1].Index
		member.next = last + 1
		member.inflight = append(member.inflight, last)
	}
	return true
}

// handleAppend accepts a leader's entries if the log matches the message's log position,
// and otherwise rejects them with a hint where the logs may match (Raft, section 5.3).
func (n *Node) handleAppend(message Message) {
	n.recordLeaderContact(message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, HeartbeatRound: message.HeartbeatRound}
	if message.Index < n.commit {
		// Committed entries are the same in every log, so the logs match up to n.commit.
		reply.Index = n.commit
		n.send(reply)
		return
	}
	if !n.log.matches(message.Index, message.LogTerm) {
		reply.Index = message.Index
		reply.Reject = true
		reply.RejectHint = n.log.findConflictByTerm(message.Index, message.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.RejectHint)
		n.send(reply)
		return
	}
	n.acceptEntries(message.Entries)
	reply.Index = message.Index + uint64(len(message.Entries))
	n.commitTo(min(message.Commit, reply.Index))
	n.send(reply)
}

// acceptEntries appends those of a leader's entries that the log lacks. The log is
// truncated only at a conflicting entry: a delayed append must not remove entries that a
// newer append has added.
func (n *Node) acceptEntries(entries []Entry) {
	for position, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.lastIndex() {
			n.log.truncate(entry.Index)
			n.truncateConfigurations(entry.Index)
		}
		n.log.append(entries[position:]...)
		n.appendConfigurations(entries[position:])
		return
	}
}

// commitTo raises the commit index of a follower, at most to the end of its log.
func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.lastIndex()))
}

func (n *Node) handleAppendReply(message Message) {
	if n.role != Leader {
		return
	}
	member := n.recordResponse(message.From, message.HeartbeatRound)
	if member == nil {
		return
	}
	if message.Reject {
		n.handleRejection(message, member)
		return
	}
	if message.Index > n.log.lastIndex() {
		return
	}
	advanced := member.acknowledge(message.Index)
	snapshotArrived := member.state == progressSnapshot && member.match >= n.log.boundaryIndex
	if member.state == progressProbe || snapshotArrived {
		member.becomeReplicate()
	}
	n.replicatePending = true
	if advanced {
		n.advanceCommit()
		n.finishTransfer(message.From)
	}
}

// handleRejection continues the search for the match index at a lower index. The
// follower's hint and the leader's own log let it skip whole terms.
func (n *Node) handleRejection(message Message, member *progress) {
	if message.Index <= member.match || member.state == progressSnapshot {
		return // delayed
	}
	if member.state == progressProbe && message.Index != member.next-1 {
		return // a reply to an earlier probe
	}
	hint := message.RejectHint
	if message.LogTerm > 0 {
		hint = n.log.findConflictByTerm(hint, message.LogTerm)
	}
	member.becomeProbe(min(message.Index, hint+1))
	n.sendAppend(message.From, member, true)
}

// advanceCommit raises the commit index to the highest index that a quorum of voters has
// on disk, if the invariant at the top of this file permits it.
func (n *Node) advanceCommit() {
	index := min(n.quorumMatch(), n.commitLimit())
	if index <= n.commit {
		return
	}
	term, known := n.log.term(index)
	if !known || term != n.term && !n.defects.Has(defectCommitOlderTerm) {
		return
	}
	n.commit = index
	n.replicatePending = true
	n.stepDownIfRemoved()
}

// quorumMatch returns the highest index up to which a quorum of voters has the log on
// disk.
func (n *Node) quorumMatch() uint64 {
	var matches []uint64
	for _, member := range n.membership().Members {
		if member.Learner {
			continue
		}
		if member.ID == n.config.ID {
			matches = append(matches, n.log.stable)
		} else {
			matches = append(matches, n.leadership.progress[member.ID].match)
		}
	}
	index, _ := quorumValue(matches, len(matches))
	return index
}
