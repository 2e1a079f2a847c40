package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestBridgeCutKeepsOneLeader: two halves of a group can't reach each other while one
// member reaches both. Whoever leads, at the begin or after an election, goes on
// leading, and what it takes is committed.
func TestBridgeCutKeepsOneLeader(t *testing.T) {
	const settling = 2 * testElection
	left, right := []ID{"a", "b"}, []ID{"d", "e"}
	for seed := range uint64(20) {
		c := newCluster(t, "a", "b", "c", "d", "e")
		for _, id := range c.ids() {
			c.disks[id].Seed = seed
			c.restart(id)
		}
		c.leader()
		c.block = func(message Message) bool {
			return slices.Contains(left, message.From) && slices.Contains(right, message.To) ||
				slices.Contains(right, message.From) && slices.Contains(left, message.To)
		}
		c.run(settling)
		leader := c.leader()
		term := leader.term
		index := c.propose(leader, "taken while the bridge is cut")
		c.run(20 * time.Second)
		if leader.role != Leader || leader.term != term {
			t.Errorf("seed %d: %s leads no more after 20 s of the cut: term %d, was %d", seed, leader.config.ID, leader.term, term)
		}
		if leader.commit < index {
			t.Errorf("seed %d: entry %d is not committed", seed, index)
		}
		c.heal()
		c.run(2 * time.Second)
		for _, id := range c.ids() {
			if texts := c.texts(id); len(texts) != 1 {
				t.Errorf("seed %d: %s has %q after the cut", seed, id, texts)
			}
		}
	}
}

// TestLossyLinksUnseatNobody: with a tenth of all messages lost, a leader goes on
// leading, and what it takes is committed within a second.
func TestLossyLinksUnseatNobody(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(t, "a", "b", "c", "d", "e")
		leader := c.leader()
		term := leader.term
		c.block = func(Message) bool { return random.IntN(10) == 0 }
		for range 20 {
			index := c.propose(leader, "x")
			c.run(time.Second)
			if leader.role != Leader || leader.term != term {
				t.Fatalf("seed %d: lost messages unseated %s: term %d, was %d", seed, leader.config.ID, leader.term, term)
			}
			if leader.commit < index {
				t.Errorf("seed %d: entry %d is not committed within a second", seed, index)
			}
		}
	}
}
