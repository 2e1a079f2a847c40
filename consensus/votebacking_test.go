package consensus

import (
	"testing"
	"time"
)

// TestVoterBacksItsCandidateForAMoment: the candidate that got the vote may lead without
// having been heard. Another one is not helped until the first could have been heard.
func TestVoterBacksItsCandidateForAMoment(t *testing.T) {
	node := newMember(t)
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

// TestStartingVoterStandsByItsVote: a member that has just started seeks an election
// soon, and yet not while the one that got its vote may be heard of.
func TestStartingVoterStandsByItsVote(t *testing.T) {
	const stands = testElection / 2
	node, err := New(Config{
		ID: "a", ElectionTimeout: testElection, StartupTimeout: time.Millisecond, HeartbeatInterval: testHeartbeat,
		HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: membersOf("a", "b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	node.Tick(0)
	mustStep(t, node, 0, Message{Kind: MessageVote, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1})
	for now := time.Duration(0); now < stands; now += testStep {
		node.Tick(now)
		if node.HasReady() {
			t.Fatalf("%v after its vote the member asks for an election of its own", now)
		}
	}
	node.Tick(stands + time.Second)
	if !node.HasReady() {
		t.Error("the member never asks for an election of its own")
	}
}
