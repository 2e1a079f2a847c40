package consensus

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
)

// Rounds. A leader numbers its heartbeats; appends carry the newest number, and
// answers echo it. A member that echoes a round was in the leader's term at
// some time after the round was sent, and had not voted in a later one. Once a
// majority has echoed, no successor can have been elected before the send time.
// Only send times on the leader's own clock count: answers that waited in a
// buffer while the leader was frozen prove nothing newer.

// leadership is what a leader knows, from its election to its end.
type leadership struct {
	elected       time.Duration
	nextHeartbeat time.Duration
	round         uint64
	roundSent     map[uint64]time.Duration
	progress      map[ID]*progress

	transferTo       ID
	transferDeadline time.Duration
}

func newLeadership(n *Node) *leadership {
	l := &leadership{
		elected:   n.now,
		roundSent: make(map[uint64]time.Duration),
		progress:  make(map[ID]*progress),
	}
	l.follow(n)
	return l
}

// follow makes the set of watched members that of the newest membership.
func (l *leadership) follow(n *Node) {
	membership := n.membership()
	for id := range l.progress {
		if !membership.has(id) {
			delete(l.progress, id)
		}
	}
	for _, member := range membership.Members {
		if member.ID != n.config.ID && l.progress[member.ID] == nil {
			l.progress[member.ID] = newProgress(n.log.last() + 1)
		}
	}
}

func (l *leadership) report(n *Node) (map[ID]uint64, map[ID]time.Duration) {
	match := map[ID]uint64{n.config.ID: n.log.stable}
	contact := map[ID]time.Duration{n.config.ID: n.now}
	for id, member := range l.progress {
		match[id] = member.match
		if member.answered {
			contact[id] = member.lastAnswer
		}
	}
	return match, contact
}

// beginRound starts a heartbeat round.
func (n *Node) beginRound() {
	l := n.leadership
	l.round++
	l.roundSent[l.round] = n.now
	l.nextHeartbeat = n.now + n.config.HeartbeatInterval
	for round, sent := range l.roundSent {
		if n.now-sent > roundMemoryTimeouts*n.config.ElectionTimeout {
			delete(l.roundSent, round)
		}
	}
	for _, member := range n.membership().Members {
		if member.ID != n.config.ID {
			n.sendHeartbeat(member.ID)
		}
	}
}

// ConfirmLeadership begins a heartbeat round now, so that QuorumContact is renewed sooner than
// the interval does it. It does nothing at a member that does not lead.
func (n *Node) ConfirmLeadership(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.beginRound()
	}
}

func (n *Node) sendHeartbeat(to ID) {
	match := n.leadership.progress[to].match
	n.send(Message{
		Kind:           MessageHeartbeat,
		To:             to,
		Commit:         min(n.commit, match), // the member may hold something else beyond
		HeartbeatRound: n.leadership.round,
	})
}

// noteAnswer records that a member answered a round.
func (n *Node) noteAnswer(from ID, round uint64) *progress {
	member := n.leadership.progress[from]
	if member == nil {
		return nil
	}
	member.answered = true
	member.lastAnswer = n.now
	if sent, known := n.leadership.roundSent[round]; known && round > member.round {
		member.round = round
		member.roundSent = sent
		if n.defects.Has(defectFreshContact) {
			member.roundSent = n.now
		}
	}
	return member
}

// QuorumContact returns the send time of the newest round that a majority of
// voters has acknowledged in this term, and false if there is none or the node
// is not the leader. Its age is the longest time for which a successor may
// already lead.
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
			acknowledged = append(acknowledged, l.roundSent[l.round])
		} else if other := l.progress[member.ID]; other.round > 0 {
			acknowledged = append(acknowledged, other.roundSent)
		}
	}
	quorum := voters/2 + 1
	if len(acknowledged) < quorum {
		return 0, false
	}
	slices.Sort(acknowledged)
	return acknowledged[len(acknowledged)-quorum], true
}

// checkQuorum ends the leadership of a leader without a recent majority.
func (n *Node) checkQuorum() {
	newest := n.leadership.elected
	if contact, known := n.QuorumContact(); known {
		newest = max(newest, contact)
	}
	if n.now-newest > n.config.ElectionTimeout && !planted.Active(planted.PrimaryStays) {
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) tickLeader() {
	n.checkQuorum()
	if n.role != Leader {
		return
	}
	n.expireTransfer()
	if n.now >= n.leadership.nextHeartbeat {
		n.beginRound()
	}
}

func (n *Node) handleHeartbeat(message Message) {
	n.followLeader(message.From)
	n.commitTo(message.Commit)
	n.send(Message{Kind: MessageHeartbeatReply, To: message.From, HeartbeatRound: message.HeartbeatRound})
}

func (n *Node) handleHeartbeatReply(message Message) {
	if n.role != Leader {
		return
	}
	member := n.noteAnswer(message.From, message.HeartbeatRound)
	if member == nil {
		return
	}
	member.resume()
	if member.match < n.log.last() {
		n.sendAppend(message.From, member, true)
	}
}
