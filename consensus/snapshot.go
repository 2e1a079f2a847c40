package consensus

// Compact makes a snapshot from the state machine's data at an applied index and drops
// the log up to that index, except for the last keep entries: with them, a member that
// lags slightly can catch up without a snapshot. The driver stores the snapshot and the
// log from FirstRetainedIndex(snapshot, keep) on. Compact returns ErrCompacted or
// ErrNotApplied.
func (n *Node) Compact(index uint64, data []byte, keep uint64) (Snapshot, error) {
	if index <= n.log.snapshot.Index {
		return Snapshot{}, ErrCompacted
	}
	if index > n.applied {
		return Snapshot{}, ErrNotApplied
	}
	term, known := n.log.term(index)
	if !known {
		return Snapshot{}, ErrCompacted
	}
	snapshot := Snapshot{
		Index:      index,
		Term:       term,
		Membership: n.membershipAt(index).clone(),
		Data:       data,
	}
	n.log.compact(snapshot, FirstRetainedIndex(snapshot, keep)-1)
	n.compactConfigurations(index)
	return snapshot, nil
}

// FirstRetainedIndex returns the first index that stays in the log after a compaction
// that retains keep entries up to and including the snapshot's index.
func FirstRetainedIndex(snapshot Snapshot, keep uint64) uint64 {
	if keep >= snapshot.Index {
		return 1
	}
	return snapshot.Index - keep + 1
}

// RetainableEntries returns how many of the last entries up to and including an index fit
// into both limits, at least one. It is the value of keep for Compact that bounds the
// retained log in bytes too.
func (n *Node) RetainableEntries(index, maxEntries uint64, maxBytes int) uint64 {
	count := uint64(0)
	size := 0
	for position := index; position > n.log.boundaryIndex && count < maxEntries; position-- {
		size += n.log.entries[position-n.log.boundaryIndex-1].Size()
		if size > maxBytes {
			break
		}
		count++
	}
	return max(count, 1)
}

// sendSnapshot sends the newest snapshot to a member whose next entry is compacted.
// Since the snapshot may be large, isPaused delays the next one for several election
// timeouts.
func (n *Node) sendSnapshot(to ID, member *progress) {
	snapshot := n.log.snapshot
	member.state = progressSnapshot
	member.snapshotSentAt = n.now
	member.inflight = nil
	n.send(Message{
		Kind:           MessageSnapshot,
		To:             to,
		HeartbeatRound: n.leadership.round,
		Snapshot:       &snapshot,
	})
}

// handleSnapshot replaces the log by the leader's snapshot, unless the log already
// contains the snapshot's last entry: then the entries after it are retained.
func (n *Node) handleSnapshot(message Message) {
	n.recordLeaderContact(message.From)
	snapshot := *message.Snapshot
	reply := Message{Kind: MessageAppendReply, To: message.From, HeartbeatRound: message.HeartbeatRound}
	switch {
	case snapshot.Index <= n.commit:
		reply.Index = n.commit
	case n.log.matches(snapshot.Index, snapshot.Term):
		n.commitTo(snapshot.Index)
		reply.Index = snapshot.Index
	default:
		n.installSnapshot(snapshot)
		reply.Index = snapshot.Index
	}
	n.send(reply)
}

func (n *Node) installSnapshot(snapshot Snapshot) {
	n.log.restore(snapshot)
	n.commit = snapshot.Index
	n.configurations = []configuration{{index: snapshot.Index, membership: snapshot.Membership}}
	n.pendingSnapshot = &snapshot
}
