package consensus

// HasReady tells whether Ready has anything to do.
func (n *Node) HasReady() bool {
	return n.flush ||
		len(n.outbox) > 0 ||
		n.pendingSnapshot != nil ||
		n.log.stable < n.log.last() ||
		n.mustPersistHardState() ||
		n.commit > n.applied
}

// Ready returns the next batch of work. See the type for the order of its
// steps. Each Ready is followed by its Advance before the next Ready; ticks,
// messages and proposals may come in between.
func (n *Node) Ready() Ready {
	if n.flush {
		n.flush = false
		n.replicateToAll()
	}
	ready := Ready{
		Snapshot:         n.pendingSnapshot,
		Entries:          n.log.unstable(),
		CommittedEntries: n.log.slice(n.applied+1, n.commit, unlimited),
		Messages:         n.outbox,
	}
	if n.pendingSnapshot != nil {
		ready.CommittedEntries = n.log.slice(n.pendingSnapshot.Index+1, n.commit, unlimited)
	}
	n.outbox = nil
	if n.mustPersistHardState() || len(ready.Entries) > 0 || ready.Snapshot != nil {
		state := n.hardState()
		state.Commit = min(state.Commit, n.log.last())
		ready.HardState = &state
		n.persisted = state
	}
	return ready
}

// Advance tells that the batch is persisted, sent and applied.
func (n *Node) Advance(ready Ready) {
	if ready.Snapshot != nil {
		n.applied = max(n.applied, ready.Snapshot.Index)
		n.clearPendingSnapshot(ready.Snapshot)
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		n.log.stableTo(last.Index, last.Term)
	}
	if count := len(ready.CommittedEntries); count > 0 {
		n.applied = max(n.applied, ready.CommittedEntries[count-1].Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) clearPendingSnapshot(done *Snapshot) {
	if n.pendingSnapshot == done {
		n.pendingSnapshot = nil
	}
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
}

// mustPersistHardState leaves out a change of the commit alone: it is learnt
// again from the leader, so it is not worth a sync of its own.
func (n *Node) mustPersistHardState() bool {
	return n.persisted.Term != n.term || n.persisted.Vote != n.vote
}
