package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/internal/defect"
)

func TestReplicationIsOrderedAndBatched(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	want := numbered("update", 100)
	for _, text := range want {
		c.propose(leader, text)
	}
	appends := c.sent[MessageAppend]
	c.deliverAll()
	for _, id := range c.ids() {
		if difference := cmp.Diff(want, c.appliedTexts(id)); difference != "" {
			t.Errorf("entries applied by %s (-want +got):\n%s", id, difference)
		}
	}
	if batched := c.sent[MessageAppend] - appends; batched > 10 {
		t.Errorf("100 proposals made at the same time were sent in %d appends, want at most 10", batched)
	}
}

func TestSingleVoterCommitsAlone(t *testing.T) {
	c := newCluster(t, "a")
	leader := c.leader()
	index := c.propose(leader, "alone")
	c.deliverAll()
	if leader.Status().Applied != index {
		t.Fatalf("applied index %d, want %d", leader.Status().Applied, index)
	}
	if contact, known := leader.QuorumContact(); !known || c.now-contact > testHeartbeatInterval {
		t.Fatalf("quorum contact %v (known: %v) at %v, want at most one heartbeat interval earlier", contact, known, c.now)
	}
}

// TestOlderTermIsNotCommittedByCounting is figure 8 of the Raft paper: every member has
// an entry of an older term, and the new leader knows it, but must not commit it by
// counting replicas. With the rule disabled, the same scenario must commit the entry.
func TestOlderTermIsNotCommittedByCounting(t *testing.T) {
	if commit, index := commitOfOlderTerm(t, defect.Set{}); commit >= index {
		t.Errorf("entry %d of an older term was committed by counting replicas", index)
	}
	if commit, index := commitOfOlderTerm(t, defect.Of(defect.CommitOlderTerm)); commit < index {
		t.Error("the scenario does not detect the planted defect")
	}
}

func commitOfOlderTerm(t *testing.T, planted defect.Set) (commit, index uint64) {
	t.Helper()
	c := newCluster(t, "a", "b", "c")
	old := c.leader().config.ID
	c.drop = func(message Message) bool { return message.Kind == MessageAppendReply }
	index = c.propose(c.nodes[old], "of an older term")
	c.deliverAll()
	c.restart(old)
	c.drop = func(message Message) bool { return message.Kind == MessageAppend }
	node := c.nodes[old]
	node.InjectDefects(planted)
	node.campaign(true)
	c.deliverAll()
	if node.role != Leader {
		t.Fatal("the member with the longest log was not elected")
	}
	for _, id := range c.ids() {
		if id == old {
			continue
		}
		if !c.nodes[id].log.matches(index, node.term-1) {
			t.Fatalf("member %s does not have the entry", id)
		}
		reply := Message{Kind: MessageAppendReply, From: id, To: old, Term: node.term, Index: index}
		if err := node.Step(c.now, reply); err != nil {
			t.Fatal(err)
		}
	}
	commit = node.commit
	c.heal()
	c.run(time.Second)
	if c.leader().commit <= index {
		t.Fatal("the entry was not committed along with an entry of a newer term")
	}
	return commit, index
}

func TestReturningMemberDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	term := leader.term
	returning := c.other(leader.config.ID)
	c.isolate(returning.config.ID)
	c.run(10 * time.Second)
	c.heal()
	c.run(2 * time.Second)
	if leader.role != Leader || leader.term != term || returning.leader != leader.config.ID {
		t.Fatalf("the leader has role %v in term %d, want Leader in term %d; the returned member follows %q", leader.role, leader.term, term, returning.leader)
	}
}

func TestOneWayPartitionDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	term := leader.term
	follower := c.other(leader.config.ID).config.ID
	c.drop = func(message Message) bool { return message.To == follower && message.From == leader.config.ID }
	c.run(10 * time.Second)
	if leader.role != Leader || leader.term != term {
		t.Fatalf("a follower without heartbeats deposed the leader: its role is %v in term %d", leader.role, leader.term)
	}
}

// TestLeaderThatCannotSendStepsDown drops all messages from a leader: the others must
// elect a successor, and the leader must step down on its own after an election timeout.
func TestLeaderThatCannotSendStepsDown(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	term := old.term
	c.drop = func(message Message) bool { return message.From == old.config.ID }
	c.run(testElectionTimeout + 2*testHeartbeatInterval)
	if old.role == Leader {
		t.Fatal("a leader without a quorum did not step down")
	}
	if _, _, err := old.Propose(c.now, nil); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("Propose at the former leader returned %v, want ErrNotLeader", err)
	}
	if successor := c.leader(); successor == old || successor.term <= term {
		t.Fatal("no successor was elected")
	}
}

// TestFrozenLeaderGainsNoQuorumContact freezes a leader until a successor is elected, and
// then delivers the replies that were buffered for it: they must not advance its quorum
// contact.
func TestFrozenLeaderGainsNoQuorumContact(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	var buffered []Message
	c.now += testHeartbeatInterval
	old.Tick(c.now)
	for _, message := range c.drive(old.config.ID) {
		if err := c.nodes[message.To].Step(c.now, message); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range c.ids() {
		if id != old.config.ID {
			buffered = append(buffered, c.drive(id)...)
		}
	}
	frozenAt := c.now
	c.frozen[old.config.ID] = true
	c.run(25 * time.Second)
	successor := c.leader()
	for _, message := range buffered {
		if err := old.Step(c.now, message); err != nil {
			t.Fatal(err)
		}
	}
	contact, known := old.QuorumContact()
	if !known || contact > frozenAt {
		t.Fatalf("quorum contact %v (known: %v), want one no later than the freeze at %v", contact, known, frozenAt)
	}
	if _, _, err := old.Propose(c.now, []byte("proposed at the former leader")); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("Propose at the thawed leader returned %v, want ErrNotLeader", err)
	}
	c.frozen[old.config.ID] = false
	c.run(time.Second)
	if old.role == Leader || old.leader != successor.config.ID {
		t.Fatalf("the thawed leader has role %v and follows %q, want a follower of its successor", old.role, old.leader)
	}
}

// TestRejectHintSkipsTerms gives a deposed leader many uncommitted entries at the end of
// its log, and checks that few appends are rejected until the logs match.
func TestRejectHintSkipsTerms(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	c.isolate(old.config.ID)
	for _, text := range numbered("lost", 200) {
		c.propose(old, text)
		c.deliverAll()
	}
	c.run(3 * time.Second)
	successor := c.leader()
	want := numbered("majority", 300)
	for _, text := range want {
		c.propose(successor, text)
		c.deliverAll()
	}
	third := c.other(old.config.ID, successor.config.ID)
	if err := successor.TransferLeadership(c.now, third.config.ID); err != nil {
		t.Fatal(err)
	}
	c.deliverAll()
	rejections := 0
	c.drop = func(message Message) bool {
		if message.Kind == MessageAppendReply && message.Reject {
			rejections++
		}
		return false
	}
	c.run(2 * time.Second)
	if difference := cmp.Diff(want, c.appliedTexts(old.config.ID)); difference != "" {
		t.Fatal(difference)
	}
	if rejections == 0 || rejections > 6 {
		t.Fatalf("%d rejections until the logs matched, want 1 to 6", rejections)
	}
}

func TestLaggingMemberReceivesSnapshot(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	lagging := c.other(leader.config.ID).config.ID
	c.isolate(lagging)
	var last uint64
	for _, text := range numbered("update", 50) {
		last = c.propose(leader, text)
		c.deliverAll()
	}
	snapshot, err := leader.Compact(last, []byte("state"), 5)
	if err != nil {
		t.Fatal(err)
	}
	if from := FirstRetainedIndex(snapshot, 5); leader.log.boundaryIndex != from-1 || from != last-4 {
		t.Fatalf("the log begins after index %d and FirstRetainedIndex is %d, last index %d", leader.log.boundaryIndex, from, last)
	}
	if _, err := leader.Compact(last, nil, 5); !errors.Is(err, ErrCompacted) {
		t.Fatalf("second Compact returned %v, want ErrCompacted", err)
	}
	c.drop = func(message Message) bool { return message.To == lagging && message.Kind == MessageSnapshot }
	c.run(3 * time.Second)
	if sent := c.sent[MessageSnapshot]; sent > 3 {
		t.Fatalf("a lost snapshot was sent %d times in 3 s, want at most 3", sent)
	}
	c.heal()
	c.run(4 * time.Second)
	if got := c.nodes[lagging].Status().Applied; got != last {
		t.Fatalf("applied index %d, want %d", got, last)
	}
	c.propose(leader, "after")
	c.deliverAll()
	if difference := cmp.Diff([]string{"after"}, c.appliedTexts(lagging)); difference != "" {
		t.Fatal(difference)
	}
	c.restart(lagging)
	c.run(time.Second)
	if c.nodes[lagging].Status().Applied != last+1 {
		t.Fatal("the restarted member has not applied the last entry")
	}
}

func TestProposeMembershipErrors(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	follower := c.other(leader.config.ID)
	members := leader.Status().Membership
	learner := Member{ID: "d", Name: "node-d", Learner: true}
	oneAdded := Membership{Members: append(slices.Clone(members.Members), learner)}
	twoAdded := Membership{Members: append(slices.Clone(oneAdded.Members), Member{ID: "e", Learner: true})}
	replaced := Membership{Members: append(slices.Clone(members.Members[1:]), learner)}
	duplicate := Membership{Members: append(slices.Clone(members.Members), members.Members[0])}
	steps := []struct {
		name       string
		node       *Node
		membership Membership
		want       error
	}{
		{"at a follower", follower, oneAdded, ErrNotLeader},
		{"two members added", leader, twoAdded, ErrMembershipMultipleChanges},
		{"one member replaced", leader, replaced, ErrMembershipMultipleChanges},
		{"duplicate member", leader, duplicate, ErrMembershipInvalid},
		{"no members", leader, Membership{}, ErrMembershipInvalid},
		{"one member added", leader, oneAdded, nil},
		{"another change while the first is pending", leader, twoAdded, ErrMembershipPending},
	}
	for _, step := range steps {
		if _, _, err := step.node.ProposeMembership(c.now, step.membership); !errors.Is(err, step.want) {
			t.Errorf("%s: ProposeMembership returned %v, want %v", step.name, err, step.want)
		}
	}
	if !leader.membership().contains("d") {
		t.Error("the membership change is not in effect although it is appended")
	}
	fresh := newCluster(t, "a", "b", "c")
	fresh.drop = func(message Message) bool { return message.Kind == MessageAppendReply }
	for fresh.nodes["a"].role != Leader {
		fresh.nodes["a"].campaign(true)
		fresh.deliverAll()
	}
	if _, _, err := fresh.nodes["a"].ProposeMembership(fresh.now, oneAdded); !errors.Is(err, ErrMembershipPending) {
		t.Errorf("leader without a committed entry of its term: ProposeMembership returned %v, want ErrMembershipPending", err)
	}
}

// TestReplaceEveryMember replaces all three voters one after another, including the
// leader, and checks that the new members have applied every entry.
func TestReplaceEveryMember(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	var want []string
	for step, pair := range [][2]ID{{"a", "d"}, {"b", "e"}, {"c", "f"}} {
		leader := c.leader()
		text := numbered("update", 3)[step]
		want = append(want, text)
		c.propose(leader, text)
		c.deliverAll()
		learner := Member{ID: pair[1], Name: "node-" + string(pair[1]), Learner: true}
		c.add(pair[1], Snapshot{})
		c.change(func(m Membership) Membership {
			m.Members = append(m.Members, learner)
			return m
		})
		c.change(func(m Membership) Membership {
			m.Members = slices.DeleteFunc(m.Members, func(member Member) bool { return member.ID == pair[0] })
			return m
		})
		c.run(3 * time.Second)
		if c.nodes[pair[0]].role == Leader {
			t.Fatalf("removed member %s still leads", pair[0])
		}
		delete(c.nodes, pair[0])
		c.change(func(m Membership) Membership {
			for i := range m.Members {
				m.Members[i].Learner = false
			}
			return m
		})
	}
	c.run(time.Second)
	for _, id := range []ID{"d", "e", "f"} {
		if got := c.appliedTexts(id); !slices.Equal(got, want) {
			t.Errorf("%s applied %v, want %v", id, got, want)
		}
	}
	if voters := c.leader().Status().Membership.Voters(); len(voters) != 3 {
		t.Fatalf("the group has %d voters, want 3", len(voters))
	}
}

// change proposes an edited membership at the leader and runs the cluster for a second,
// in which the membership is committed.
func (c *cluster) change(edit func(Membership) Membership) {
	c.t.Helper()
	leader := c.leader()
	if _, _, err := leader.ProposeMembership(c.now, edit(leader.Status().Membership)); err != nil {
		c.t.Fatal(err)
	}
	c.run(time.Second)
}

func TestLearnerIsNotCountedForQuorum(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.add("d", Snapshot{})
	c.change(func(m Membership) Membership {
		m.Members = append(m.Members, Member{ID: "d", Learner: true})
		return m
	})
	leader := c.leader()
	voter := c.other(leader.config.ID, "d").config.ID
	c.frozen[voter] = true
	index := c.propose(leader, "needs the other voter")
	c.deliverAll()
	if leader.commit >= index || c.nodes["d"].log.lastIndex() < index {
		t.Fatalf("commit index %d, last index of the learner %d, want the learner to have entry %d and the entry uncommitted", leader.commit, c.nodes["d"].log.lastIndex(), index)
	}
	c.frozen[leader.config.ID] = true
	c.run(5 * time.Second)
	if c.nodes["d"].role != Follower || c.nodes["d"].term != leader.term {
		t.Fatal("the learner started an election")
	}
}

func TestLeadershipTransferOverridesCurrentLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	next := c.other(old.config.ID)
	if err := old.TransferLeadership(c.now, "nobody"); !errors.Is(err, ErrNotVoter) {
		t.Fatalf("transfer to a node outside the group returned %v, want ErrNotVoter", err)
	}
	if err := old.TransferLeadership(c.now, next.config.ID); err != nil {
		t.Fatal(err)
	}
	if _, _, err := old.Propose(c.now, nil); !errors.Is(err, ErrLeadershipTransfer) {
		t.Fatalf("Propose during a transfer returned %v, want ErrLeadershipTransfer", err)
	}
	c.deliverAll()
	if next.role != Leader || old.role != Follower {
		t.Fatalf("the target has role %v and the former leader %v, want Leader and Follower", next.role, old.role)
	}
	if _, known := old.QuorumContact(); known {
		t.Fatal("the former leader still reports a quorum contact")
	}
}

func TestLeadershipTransferTimesOut(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	target := c.other(leader.config.ID).config.ID
	c.frozen[target] = true
	if err := leader.TransferLeadership(c.now, target); err != nil {
		t.Fatal(err)
	}
	c.run(testElectionTimeout + testHeartbeatInterval)
	index := c.propose(leader, "after the transfer timed out")
	c.deliverAll()
	if leader.commit != index {
		t.Fatalf("commit index %d, want %d", leader.commit, index)
	}
}

func TestInvalidMessageIsRejected(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	err := c.nodes["a"].Step(0, Message{Kind: MessageVote, From: "b", To: "wiped", Term: 9})
	if !errors.Is(err, ErrMisaddressed) || c.nodes["a"].term != 1 {
		t.Fatalf("Step returned %v, want ErrMisaddressed; term %d, want 1", err, c.nodes["a"].term)
	}
	bad := Message{Kind: MessageAppend, From: "b", To: "a", Term: 9, Index: 1, LogTerm: 1, Entries: entriesOf(5, 6)}
	if err := c.nodes["a"].Step(0, bad); !errors.Is(err, ErrMalformed) {
		t.Fatalf("append with a gap between entries: Step returned %v, want ErrMalformed", err)
	}
}

func entriesOf(indexes ...uint64) []Entry {
	var entries []Entry
	for _, index := range indexes {
		entries = append(entries, Entry{Index: index, Term: 1})
	}
	return entries
}

// TestRestoreSnapshotWithoutHardState restores a member that crashed between writing the
// snapshot and writing the hard state: its term must not be lower than the snapshot's.
func TestRestoreSnapshotWithoutHardState(t *testing.T) {
	node, err := New(Config{
		ID:        "a",
		HardState: HardState{Term: 2, Vote: "b", Commit: 3},
		Snapshot:  Snapshot{Index: 9, Term: 5, Membership: membersOf("a", "b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	if status := node.Status(); status.Term != 5 || status.Commit != 9 || node.vote != None {
		t.Fatalf("term %d, commit index %d, vote %q, want 5, 9 and no vote", status.Term, status.Commit, node.vote)
	}
	if _, err := New(Config{ID: "a", Entries: entriesOf(1, 3)}); !errors.Is(err, ErrInvalidConfig) {
		t.Fatalf("log with a gap: New returned %v, want ErrInvalidConfig", err)
	}
}
