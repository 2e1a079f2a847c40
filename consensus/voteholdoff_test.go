package consensus

import (
	"testing"
	"time"
)

// TestVoterIgnoresOtherCandidatesAfterVote sends a pre-vote of another candidate to a
// member that has just voted. The first candidate may already lead without its first
// message having arrived, so the member must not support another candidate at once, but
// must do so an election timeout later.
func TestVoterIgnoresOtherCandidatesAfterVote(t *testing.T) {
	node := newMember(t)
	preVote := Message{Kind: MessagePreVote, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1}
	vote := mustStep(t, node, 0, Message{Kind: MessageVote, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1})
	if len(vote) != 1 || vote[0].Reject {
		t.Fatalf("replies to the vote request: %+v, want one that grants it", vote)
	}
	if replies := mustStep(t, node, testHeartbeatInterval, preVote); len(replies) != 0 {
		t.Errorf("replies to another candidate shortly after the vote: %+v, want none", replies)
	}
	replies := mustStep(t, node, testElectionTimeout, preVote)
	if len(replies) != 1 || replies[0].Reject {
		t.Errorf("replies to another candidate an election timeout after the vote: %+v, want one that grants it", replies)
	}
}

// TestVoteDelaysElectionOfStartedMember grants a vote at a member that has just started
// with a short StartupTimeout: it must not start an election of its own before the
// candidate's first message as leader has had time to arrive.
func TestVoteDelaysElectionOfStartedMember(t *testing.T) {
	const holdOff = testElectionTimeout / 2
	node, err := New(Config{
		ID: "a", ElectionTimeout: testElectionTimeout, StartupTimeout: time.Millisecond, HeartbeatInterval: testHeartbeatInterval,
		HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: membersOf("a", "b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	node.Tick(0)
	mustStep(t, node, 0, Message{Kind: MessageVote, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1})
	for now := time.Duration(0); now < holdOff; now += testStep {
		node.Tick(now)
		if node.HasReady() {
			t.Fatalf("the member started an election %v after its vote, within the hold-off period", now)
		}
	}
	node.Tick(holdOff + time.Second)
	if !node.HasReady() {
		t.Error("the member did not start an election after the hold-off period")
	}
}
