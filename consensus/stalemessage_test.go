package consensus

import (
	"testing"
	"time"
)

// newMember returns member a of a group of three that hears of no leader, at term 1.
func newMember(t *testing.T) *Node {
	t.Helper()
	node, err := New(Config{
		ID: "a", ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: membersOf("a", "b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	node.Tick(0)
	return node
}

// mustStep hands one message to a member and returns what the member sends.
func mustStep(t *testing.T, node *Node, now time.Duration, message Message) []Message {
	t.Helper()
	if err := node.Step(now, message); err != nil {
		t.Fatal(err)
	}
	ready := node.Ready()
	node.Advance(ready)
	return ready.Messages
}

// TestLateAppendDropsNothing: messages overtake one another. An append that comes after
// a longer one holds entries that are there already, and truncates nothing.
func TestLateAppendDropsNothing(t *testing.T) {
	node := newMember(t)
	entries := []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}}
	appendOf := func(count int) Message {
		return Message{Kind: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Entries: entries[:count]}
	}
	mustStep(t, node, 0, appendOf(3))
	mustStep(t, node, 0, appendOf(1))
	if last := node.Status().LastIndex; last != 4 {
		t.Errorf("the log ends at %d after a late append, want 4", last)
	}
}

// TestMemberOfANewerTermRejoins: the others hear their leader and ignore the questions of
// a member that has reached a newer term. It must tell the leader of that term.
func TestMemberOfANewerTermRejoins(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader()
	stray := c.other(c.leader().Status().ID)
	id := stray.Status().ID
	c.disks[id].HardState = HardState{Term: stray.Status().Term + 5}
	c.restart(id)
	c.run(10 * testElection)
	c.propose(c.leader(), "x")
	c.run(testElection)
	if texts := c.appliedTexts(id); len(texts) != 1 {
		t.Errorf("the member of a newer term was given %q", texts)
	}
}

// TestAppendBelowTheCommitIsNotRejected: what is committed is the same everywhere. A late
// append from before it is answered by the commit, also where the log begins later.
func TestAppendBelowTheCommitIsNotRejected(t *testing.T) {
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
		t.Errorf("a late append is answered by %+v, want the commit 4", replies)
	}
}

// TestSnapshotThatTheLogLeadsThroughDropsNothing: a member that holds the snapshot's last
// entry already commits up to it, and keeps what comes after.
func TestSnapshotThatTheLogLeadsThroughDropsNothing(t *testing.T) {
	node := newMember(t)
	mustStep(t, node, 0, Message{
		Kind: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}, {Term: 2, Index: 4}},
	})
	snapshot := &Snapshot{Index: 3, Term: 2, Membership: membersOf("a", "b", "c")}
	mustStep(t, node, 0, Message{Kind: MessageSnapshot, From: "b", To: "a", Term: 2, Snapshot: snapshot})
	if status := node.Status(); status.LastIndex != 4 || status.Commit != 3 {
		t.Errorf("the log ends at %d and is committed to %d, want 4 and 3", status.LastIndex, status.Commit)
	}
}

// TestHeartbeatCommitsNothingUnmatched: beyond what a member has acknowledged it may hold
// entries of a leader that is gone. A heartbeat must not commit those.
func TestHeartbeatCommitsNothingUnmatched(t *testing.T) {
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
	c.run(2 * testElection)
	if texts := c.appliedTexts(id); len(texts) != 0 {
		t.Errorf("heartbeats alone committed %q", texts)
	}
	c.heal()
	c.run(2 * testElection)
	if texts := c.appliedTexts(id); len(texts) != 3 {
		t.Errorf("the former leader was given %q at last", texts)
	}
}

// TestOverwrittenBatchIsNotTakenForTheNewOne: while a batch is being written, another
// leader's entries may replace it. They still have to be written.
func TestOverwrittenBatchIsNotTakenForTheNewOne(t *testing.T) {
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
		t.Errorf("to be written are %+v, want both entries of term 3", ready.Entries)
	}
}
