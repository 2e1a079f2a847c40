package consensus

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

// Heartbeat rounds. A leader numbers its heartbeats; appends carry the newest number,
// and replies echo it. A member that echoes a round was in the leader's term at some
// time after the round was sent, and had not voted in a later one. Once a quorum has
// echoed, no successor can have been elected before the round's send time.
//
// Only send times on the leader's own clock count, never the arrival of a reply: one
// that waited in a buffer while the leader was frozen proves nothing newer.

// roundRetentionTimeouts is the number of election timeouts for which the send time of
// a heartbeat round is retained. A leader without a newer quorum contact has stepped
// down long before.
const roundRetentionTimeouts = 8

// startHeartbeatRound sends the next heartbeat to every other member.
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

// ConfirmLeadership starts a heartbeat round now instead of at the end of the interval,
// so that QuorumContact is renewed sooner. It does nothing unless the member leads.
func (n *Node) ConfirmLeadership(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.startHeartbeatRound()
	}
}

// sendHeartbeat sends no more of the commit index than the member's match: beyond it,
// the member's log may have entries that conflict with the committed ones.
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
	n.send(Message{Kind: MessageHeartbeatReply, To: message.From, HeartbeatRound: message.HeartbeatRound})
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
	if member.match < n.log.lastIndex() {
		n.sendAppend(message.From, member, true)
	}
}

// recordResponse records a reply of a member and the heartbeat round that it echoes.
// It returns the member's progress, nil if it is a member no more.
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
// voters has acknowledged in this term, and false if there is none or the member does
// not lead. No successor was elected before that time: its age bounds how long one may
// have been leading already.
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
	return quorumValue(acknowledged, voters)
}

// checkQuorum makes a leader step down that has had no quorum contact for an
// ElectionTimeout: the others may have elected a successor.
func (n *Node) checkQuorum() {
	latest := n.leadership.electedAt
	if contact, known := n.QuorumContact(); known {
		latest = max(latest, contact)
	}
	if n.now-latest > n.config.ElectionTimeout && !planted.Active(planted.PrimaryStays) {
		n.becomeFollower(n.term, None)
	}
}
