package consensus

import (
	"testing"
	"time"
)

// newMember returns a member of a group of three that hears of no leader, at term 1.
func newMember(t *testing.T, id ID) *Node {
	t.Helper()
	node, err := New(Config{
		ID: id, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
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
	node := newMember(t, "a")
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

// TestVoterBacksItsCandidateForAMoment: the candidate that got the vote may lead without
// having been heard. Another one is not helped until the first could have been heard.
func TestVoterBacksItsCandidateForAMoment(t *testing.T) {
	node := newMember(t, "a")
	preVote := Message{Kind: MessagePreVote, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1}
	vote := mustStep(t, node, 0, Message{Kind: MessageVote, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1})
	if len(vote) != 1 || vote[0].Reject {
		t.Fatalf("the vote is answered by %+v", vote)
	}
	if replies := mustStep(t, node, testHeartbeat, preVote); len(replies) != 0 {
		t.Errorf("another candidate is answered %+v at once after the vote", replies)
	}
	replies := mustStep(t, node, testElection, preVote)
	if len(replies) != 1 || replies[0].Reject {
		t.Errorf("another candidate is answered %+v an election timeout after the vote", replies)
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
	if texts := c.texts(id); len(texts) != 1 {
		t.Errorf("the member of a newer term was given %q", texts)
	}
}
