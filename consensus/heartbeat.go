package consensus

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

// Heartbeat rounds. A leader numbers its heartbeat rounds. Heartbeats and appends carry
// the newest number, and replies echo it. A member that echoes a round was in the
// leader's term at some time after the round was sent, and had not voted in a later
// term. Once a quorum has echoed a round, no successor can have been elected before the
// round's send time.
//
// Only the send time on the leader's own clock counts, never the arrival time of a
// reply: a reply that waited in a buffer while the leader was frozen proves nothing
// about the time after the round was sent.

// roundRetentionTimeouts is the number of election timeouts for which the send time of
// a heartbeat round is retained. A leader whose quorum contact is that old has already
// stepped down.
const roundRetentionTimeouts = 8

// startHeartbeatRound starts the next round and sends a heartbeat to every other member.
func (n *Node) startHeartbeatRound() {
	l := n.leadership
	l.round++
	l.roundSentAt[l.round] = n.now
	l.nextHeartbeatAt = n.now + n.config.HeartbeatInterval
	for round, sentAt := range l.roundSentAt {
		if n.now-sentAt > roundRetentionTimeouts*n.config.ElectionTimeout {
			delete(l.roundSentAt, round)
		}
	}
	for _, member := range n.membership().Members {
		if member.ID != n.config.ID {
			n.sendHeartbeat(member.ID)
		}
	}
}

// ConfirmLeadership starts a heartbeat round at once instead of at the end of the
// interval, so that QuorumContact advances sooner. It does nothing unless the member
// leads.
func (n *Node) ConfirmLeadership(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.startHeartbeatRound()
	}
}

// sendHeartbeat sends a heartbeat with the commit index, limited to the member's match
// index: beyond it, the member's log may conflict with the committed entries.
func (n *Node) sendHeartbeat(to ID) {
	match := n.leadership.progress[to].match
	n.send(Message{
		Kind:           MessageHeartbeat,
		To:             to,
		Commit:         min(n.commit, match),
		HeartbeatRound: n.leadership.round,
	})
}

func (n *Node) handleHeartbeat(message Message) {
	n.recordLeaderContact(message.From)
	n.commitTo(message.Commit)
	n.send(Message{Kind: MessageHeartbeatReply, To: message.From, HeartbeatRound: message.HeartbeatRound, KnowsWitnesses: true})
}

func (n *Node) handleHeartbeatReply(message Message) {
	if n.role != Leader {
		return
	}
	member := n.recordResponse(message.From, message.HeartbeatRound)
	if member == nil {
		return
	}
	member.resume()
	member.knowsWitnesses = message.KnowsWitnesses
	if member.match < n.log.lastIndex() {
		n.sendAppend(message.From, member, true)
	}
}

// recordResponse records a reply from a member and the heartbeat round that it echoes.
// It returns the member's progress, or nil if it is no longer a member.
func (n *Node) recordResponse(from ID, round uint64) *progress {
	member := n.leadership.progress[from]
	if member == nil {
		return nil
	}
	member.responded = true
	member.lastResponse = n.now
	if sentAt, known := n.leadership.roundSentAt[round]; known && round > member.acknowledgedRound {
		member.acknowledgedRound = round
		member.acknowledgedRoundSentAt = sentAt
		if n.defects.Has(defectContactFromArrival) {
			member.acknowledgedRoundSentAt = n.now
		}
	}
	return member
}

// QuorumContact returns the send time of the newest heartbeat round that a quorum of
// voters has acknowledged in this term. It returns false if there is none or the member
// does not lead. No successor was elected before that time, so its age is an upper bound
// on how long a successor may already have been leading.
func (n *Node) QuorumContact() (time.Duration, bool) {
	if n.role != Leader {
		return 0, false
	}
	l := n.leadership
	var acknowledged []time.Duration
	voters := 0
	for _, member := range n.membership().Members {
		if member.Learner {
			continue
		}
		voters++
		if member.ID == n.config.ID {
			acknowledged = append(acknowledged, l.roundSentAt[l.round])
		} else if other := l.progress[member.ID]; other.acknowledgedRound > 0 {
			acknowledged = append(acknowledged, other.acknowledgedRoundSentAt)
		}
	}
	contact, known := quorumValue(acknowledged, voters)
	required, requiredKnown := n.requiredContact()
	return min(contact, required), known && requiredKnown
}

// checkQuorum makes a leader step down if both its election and its quorum contact, if
// any, are more than one ElectionTimeout ago: the others may have elected a successor.
func (n *Node) checkQuorum() {
	latest := n.leadership.electedAt
	if contact, known := n.QuorumContact(); known {
		latest = max(latest, contact)
	}
	if n.now-latest > n.config.ElectionTimeout && !planted.Active(planted.PrimaryStays) {
		n.becomeFollower(n.term, None)
	}
}
