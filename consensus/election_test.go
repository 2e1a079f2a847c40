package consensus

import "testing"

// TestVotersThatStartLaterAreAskedAgain: members that come back together after a
// loss of power miss the first question of the earliest; it must not cost another
// election timeout.
func TestVotersThatStartLaterAreAskedAgain(t *testing.T) {
	questions := map[string]MessageKind{"before the election": MessagePreVote, "in the election": MessageVote}
	for name, lost := range questions {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			dropped := 0
			c.block = func(message Message) bool {
				if message.Kind == lost {
					dropped++
					return true
				}
				return false
			}
			for dropped == 0 {
				c.run(testStep)
			}
			c.block = func(Message) bool { return false }
			c.run(2 * testHeartbeat)
			for _, id := range c.ids() {
				if c.nodes[id].role == Leader {
					return
				}
			}
			t.Error("no leader two heartbeats after the voters could be reached")
		})
	}
}

// TestAskedAgainIsOneVote: a voter that answered is not asked again, and one that
// is asked twice gives the same vote.
func TestAskedAgainIsOneVote(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.block = func(message Message) bool {
		return message.To == "c" || message.From == "c" || message.Kind == MessageVoteReply
	}
	asked := map[ID]int{}
	inner := c.block
	c.block = func(message Message) bool {
		if message.Kind == MessageVote {
			asked[message.To]++
		}
		return inner(message)
	}
	c.run(4 * testElection)
	terms := map[uint64]map[ID]bool{}
	for _, id := range []ID{"a", "b"} {
		node := c.nodes[id]
		if terms[node.term] == nil {
			terms[node.term] = map[ID]bool{}
		}
		terms[node.term][node.vote] = true
	}
	for term, votes := range terms {
		if len(votes) > 1 {
			t.Errorf("votes %v in term %d: the candidate and its voter must agree", votes, term)
		}
	}
	if len(asked) == 0 {
		t.Error("nobody was asked")
	}
}
