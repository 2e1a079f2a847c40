package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPartialPartitionKeepsOneLeader cuts the connections between two pairs of members,
// while a fifth member still reaches both. Once the partition has lasted for two election
// timeouts, the leader must not change within the next 20 s, and must commit an entry that
// is proposed at their start.
func TestPartialPartitionKeepsOneLeader(t *testing.T) {
	const settleTime = 2 * testElectionTimeout
	for seed := range uint64(20) {
		c := newSeededCluster(t, seed, "a", "b", "c", "d", "e")
		c.leader()
		c.partition([]ID{"a", "b"}, []ID{"d", "e"})
		c.run(settleTime)
		leader := c.leader()
		term := leader.term
		index := c.propose(leader, "proposed during the partition")
		c.run(20 * time.Second)
		if leader.role != Leader || leader.term != term {
			t.Errorf("seed %d: %s lost the leadership within the 20 s after two election timeouts of partition: its term is %d, was %d", seed, leader.config.ID, leader.term, term)
		}
		if leader.commit < index {
			t.Errorf("seed %d: entry %d is not committed", seed, index)
		}
		c.heal()
		c.run(2 * time.Second)
		for _, id := range c.ids() {
			if texts := c.appliedTexts(id); len(texts) != 1 {
				t.Errorf("seed %d: %s applied %q after the partition, want one entry", seed, id, texts)
			}
		}
	}
}

// TestMessageLossDoesNotDeposeLeader drops a tenth of all messages at random: the leader
// must keep its role and commit each proposal within a second.
func TestMessageLossDoesNotDeposeLeader(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(t, "a", "b", "c", "d", "e")
		leader := c.leader()
		term := leader.term
		c.drop = func(Message) bool { return random.IntN(10) == 0 }
		for range 20 {
			index := c.propose(leader, "x")
			c.run(time.Second)
			if leader.role != Leader || leader.term != term {
				t.Fatalf("seed %d: %s lost the leadership: its term is %d, was %d", seed, leader.config.ID, leader.term, term)
			}
			if leader.commit < index {
				t.Errorf("seed %d: entry %d is not committed within a second", seed, index)
			}
		}
	}
}
