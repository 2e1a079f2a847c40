package consensus

// Ready is one batch of work for the driver. The driver
//
//  1. persists Snapshot, HardState and Entries with a sync (storage.Persist),
//  2. sends Messages,
//  3. applies Snapshot and then CommittedEntries to its state machine,
//  4. calls Node.Advance.
//
// The order is required for safety: a message refers to state that must be on the
// sender's disk, so it must not be sent before the sync. A nil HardState or Snapshot
// means that it has not changed.
type Ready struct {
	HardState        *HardState
	Snapshot         *Snapshot
	Entries          []Entry
	Messages         []Message
	CommittedEntries []Entry
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.replicatePending ||
		len(n.outbox) > 0 ||
		n.pendingSnapshot != nil ||
		n.log.stable < n.log.lastIndex() ||
		n.mustPersistHardState() ||
		n.commit > n.applied
}

// Ready returns the next batch of work. Call Advance with it before calling Ready again;
// calls of Tick, Step and Propose may come in between.
func (n *Node) Ready() Ready {
	if n.replicatePending {
		n.replicatePending = false
		n.replicateToAll()
	}
	ready := Ready{
		Snapshot:         n.pendingSnapshot,
		Entries:          n.log.unstable(),
		CommittedEntries: n.log.slice(n.applied+1, n.commit, unlimitedBytes),
		Messages:         n.outbox,
	}
	if n.pendingSnapshot != nil {
		// The snapshot is applied first, so the entries that it covers are left out.
		ready.CommittedEntries = n.log.slice(n.pendingSnapshot.Index+1, n.commit, unlimitedBytes)
	}
	n.outbox = nil
	if n.mustPersistHardState() || len(ready.Entries) > 0 || ready.Snapshot != nil {
		state := n.hardState()
		state.Commit = min(state.Commit, n.log.lastIndex())
		ready.HardState = &state
		n.persistedHardState = state
	}
	return ready
}

// Advance acknowledges that the driver has persisted, sent and applied the contents of
// ready, which is the result of the last call of Ready.
func (n *Node) Advance(ready Ready) {
	if ready.Snapshot != nil {
		n.applied = max(n.applied, ready.Snapshot.Index)
		if n.pendingSnapshot == ready.Snapshot {
			n.pendingSnapshot = nil // no newer one has arrived in the meantime
		}
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

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
}

// mustPersistHardState reports whether the term or vote has changed since the last Ready.
// A change of the commit index alone does not justify a sync: a restarted member
// receives it again from the leader.
func (n *Node) mustPersistHardState() bool {
	return n.persistedHardState.Term != n.term || n.persistedHardState.Vote != n.vote
}
