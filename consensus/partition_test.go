package consensus

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPartialPartitionKeepsOneLeader: two halves of a group can't reach each other while
// one member reaches both. Whoever leads, before or after an election, stays leader, and
// what is proposed to it is committed.
func TestPartialPartitionKeepsOneLeader(t *testing.T) {
	const partitionSettles = 2 * testElection
	for seed := range uint64(20) {
		c := newSeededCluster(t, seed, "a", "b", "c", "d", "e")
		c.leader()
		c.partition([]ID{"a", "b"}, []ID{"d", "e"})
		c.run(partitionSettles)
		leader := c.leader()
		term := leader.term
		index := c.propose(leader, "proposed during the partition")
		c.run(20 * time.Second)
		if leader.role != Leader || leader.term != term {
			t.Errorf("seed %d: %s leads no more after 20 s of the partition: term %d, was %d", seed, leader.config.ID, leader.term, term)
		}
		if leader.commit < index {
			t.Errorf("seed %d: entry %d is not committed", seed, index)
		}
		c.heal()
		c.run(2 * time.Second)
		for _, id := range c.ids() {
			if texts := c.appliedTexts(id); len(texts) != 1 {
				t.Errorf("seed %d: %s has %q after the partition", seed, id, texts)
			}
		}
	}
}

// TestMessageLossDoesNotDeposeLeader: with a tenth of all messages lost, a leader stays
// leader, and what is proposed to it is committed within a second.
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
				t.Fatalf("seed %d: lost messages deposed %s: term %d, was %d", seed, leader.config.ID, leader.term, term)
			}
			if leader.commit < index {
				t.Errorf("seed %d: entry %d is not committed within a second", seed, index)
			}
		}
	}
}
