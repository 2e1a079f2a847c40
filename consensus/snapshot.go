package consensus

// Compact takes the state machine's own snapshot at an applied index and drops
// the log before it, except for keep entries that a lagging member may still
// need. The driver stores the result with KeepFrom(snapshot, keep).
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

// FirstRetainedIndex returns the first index that stays in the log when keep entries
// before the snapshot's index are kept.
func FirstRetainedIndex(snapshot Snapshot, keep uint64) uint64 {
	if keep >= snapshot.Index {
		return 1
	}
	return snapshot.Index - keep + 1
}

// sendSnapshot brings a member up to date whose next entry is compacted. It is
// sent again only after several election timeouts, as it may be large.
func (n *Node) sendSnapshot(to ID, member *progress) {
	snapshot := n.log.snapshot
	member.state = progressSnapshot
	member.snapshotSent = n.now
	member.inflight = nil
	n.send(Message{
		Kind:           MessageSnapshot,
		To:             to,
		HeartbeatRound: n.leadership.round,
		Snapshot:       &snapshot,
	})
}

// handleSnapshot replaces the log by the leader's snapshot, unless the log
// already leads through it.
func (n *Node) handleSnapshot(message Message) {
	n.followLeader(message.From)
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
	n.log.install(snapshot)
	n.commit = snapshot.Index
	n.configurations = []configuration{{index: snapshot.Index, membership: snapshot.Membership}}
	n.pendingSnapshot = &snapshot
}
