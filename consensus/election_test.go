package consensus

import "testing"

// TestVoteRequestIsRepeated drops the first vote requests. When all members restart
// together, for example after a power failure, those that start later miss the first
// requests; this must not delay the election by another election timeout.
func TestVoteRequestIsRepeated(t *testing.T) {
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
			c.run(2 * testHeartbeatInterval)
			for _, id := range c.ids() {
				if c.nodes[id].role == Leader {
					return
				}
			}
			t.Error("no leader two heartbeat intervals after the requests were no longer dropped")
		})
	}
}

// TestRepeatedVoteRequestGetsTheSameVote drops the vote replies, so that the candidate
// repeats its request: the voter must grant the same vote again.
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
	c.run(4 * testElectionTimeout)
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
			t.Errorf("the candidate and the voter voted for different members in term %d: %v", term, votes)
		}
	}
	if len(requests) == 0 {
		t.Error("no vote request was sent")
	}
}
