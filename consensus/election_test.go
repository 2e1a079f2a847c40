package consensus

import "testing"

// TestVotersThatStartLaterAreAskedAgain: of members that restart together after a loss
// of power, later ones miss the first vote request of the earliest; that must not cost
// another election timeout.
func TestVotersThatStartLaterAreAskedAgain(t *testing.T) {
	requests := map[string]MessageKind{"pre-vote": MessagePreVote, "vote": MessageVote}
	for name, lost := range requests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			dropped := 0
			c.drop = func(message Message) bool {
				if message.Kind == lost {
					dropped++
					return true
				}
				return false
			}
			for dropped == 0 {
				c.run(testStep)
			}
			c.drop = func(Message) bool { return false }
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

// TestRepeatedVoteRequestGetsTheSameVote loses the vote replies, so that the voter is
// asked again: it must give the same vote.
func TestRepeatedVoteRequestGetsTheSameVote(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.drop = func(message Message) bool {
		return message.To == "c" || message.From == "c" || message.Kind == MessageVoteReply
	}
	requests := map[ID]int{}
	inner := c.drop
	c.drop = func(message Message) bool {
		if message.Kind == MessageVote {
			requests[message.To]++
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
	if len(requests) == 0 {
		t.Error("no vote was requested")
	}
}
