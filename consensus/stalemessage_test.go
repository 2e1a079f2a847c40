package consensus

import (
	"testing"
	"time"
)

// newMember returns member a of a group of three, in term 1 and without a leader.
func newMember(t *testing.T) *Node {
	t.Helper()
	node, err := New(Config{
		ID: "a", ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval,
		HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: membersOf("a", "b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	node.Tick(0)
	return node
}

// mustStep passes one message to a member and returns the messages that the member sends.
func mustStep(t *testing.T, node *Node, now time.Duration, message Message) []Message {
	t.Helper()
	if err := node.Step(now, message); err != nil {
		t.Fatal(err)
	}
	ready := node.Ready()
	node.Advance(ready)
	return ready.Messages
}

// TestDelayedAppendDoesNotTruncate delivers an append after a newer, longer one: all its
// entries are already in the log, which must not be truncated.
func TestDelayedAppendDoesNotTruncate(t *testing.T) {
	node := newMember(t)
	entries := []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	appendOf := func(count int) Message {
		return Message{Kind: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Entries: entries[:count]}
	}
	mustStep(t, node, 0, appendOf(3))
	mustStep(t, node, 0, appendOf(1))
	if last := node.Status().LastIndex; last != 4 {
		t.Errorf("last index %d after a delayed append, want 4", last)
	}
}

// TestMemberWithNewerTermRejoins restarts a member with a newer term. The others hear from
// their leader and ignore the member's vote requests, so it must report its term to the
// leader in order to rejoin.
func TestMemberWithNewerTermRejoins(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader()
	rejoining := c.other(c.leader().Status().ID)
	id := rejoining.Status().ID
	c.disks[id].HardState = HardState{Term: rejoining.Status().Term + 5}
	c.restart(id)
	c.run(10 * testElectionTimeout)
	c.propose(c.leader(), "x")
	c.run(testElectionTimeout)
	if texts := c.appliedTexts(id); len(texts) != 1 {
		t.Errorf("the member with a newer term applied %q, want one entry", texts)
	}
}

// TestAppendBelowCommitIndexIsNotRejected delivers a delayed append that starts below the
// commit index. Committed entries are the same at all members, so the reply must
// acknowledge the commit index, even if the log before it is compacted.
func TestAppendBelowCommitIndexIsNotRejected(t *testing.T) {
	node := newMember(t)
	message := Message{
		Kind: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Commit: 4,
		Entries: []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}},
	}
	mustStep(t, node, 0, message)
	node.Advance(node.Ready())
	if _, err := node.Compact(4, nil, 0); err != nil {
		t.Fatal(err)
	}
	replies := mustStep(t, node, 0, message)
	if len(replies) != 1 || replies[0].Reject || replies[0].Index != 4 {
		t.Errorf("replies to a delayed append: %+v, want one that acknowledges index 4", replies)
	}
}

// TestSnapshotWithinLogRetainsLaterEntries sends a snapshot to a member whose log already
// contains the snapshot's last entry: the member must commit up to that entry and retain
// the entries after it.
func TestSnapshotWithinLogRetainsLaterEntries(t *testing.T) {
	node := newMember(t)
	mustStep(t, node, 0, Message{
		Kind: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}},
	})
	snapshot := &Snapshot{Index: 3, Term: 2, Membership: membersOf("a", "b", "c")}
	mustStep(t, node, 0, Message{Kind: MessageSnapshot, From: "b", To: "a", Term: 2, Snapshot: snapshot})
	if status := node.Status(); status.LastIndex != 4 || status.Commit != 3 {
		t.Errorf("last index %d and commit index %d, want 4 and 3", status.LastIndex, status.Commit)
	}
}

// TestHeartbeatDoesNotCommitUnmatchedEntries sends heartbeats, but no appends, to a former
// leader with uncommitted entries. Beyond its match index, a member's log may have entries
// of a former leader, and a heartbeat must not commit them.
func TestHeartbeatDoesNotCommitUnmatchedEntries(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	former := c.leader()
	id := former.Status().ID
	c.isolate(id)
	c.propose(former, "never committed")
	c.deliverAll()
	for former.Status().Role == Leader {
		c.run(testStep)
	}
	successor := c.leader()
	for _, text := range numbered("update", 3) {
		c.propose(successor, text)
	}
	c.deliverAll()
	c.drop = func(message Message) bool { return message.To == id && message.Kind == MessageAppend }
	c.run(2 * testElectionTimeout)
	if texts := c.appliedTexts(id); len(texts) != 0 {
		t.Errorf("heartbeats without appends committed %q", texts)
	}
	c.heal()
	c.run(2 * testElectionTimeout)
	if texts := c.appliedTexts(id); len(texts) != 3 {
		t.Errorf("the former leader applied %q, want the three entries of its successor", texts)
	}
}

// TestOverwrittenEntriesAreNotMarkedStable replaces entries by another leader's entries
// while they are being written: the new entries must still be returned by Ready for
// writing.
func TestOverwrittenEntriesAreNotMarkedStable(t *testing.T) {
	node := newMember(t)
	appendOf := func(from ID, term uint64) Message {
		return Message{
			Kind: MessageAppend, From: from, To: "a", Term: term, Index: 1, LogTerm: 1,
			Entries: []Entry{{Term: term, Index: 2}, {Term: term, Index: 3}},
		}
	}
	if err := node.Step(0, appendOf("b", 2)); err != nil {
		t.Fatal(err)
	}
	overwritten := node.Ready()
	if err := node.Step(0, appendOf("c", 3)); err != nil {
		t.Fatal(err)
	}
	node.Advance(overwritten)
	ready := node.Ready()
	if len(ready.Entries) != 2 || ready.Entries[0].Term != 3 {
		t.Errorf("entries to persist: %+v, want both entries of term 3", ready.Entries)
	}
}
