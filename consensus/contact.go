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

// office is what a leader knows, from its election to its end.
type office struct {
	elected       time.Duration
	nextHeartbeat time.Duration
	round         uint64
	roundSent     map[uint64]time.Duration
	progress      map[ID]*progress

	transferTo       ID
	transferDeadline time.Duration
}

func newOffice(n *Node) *office {
	o := &office{
		elected:   n.now,
		roundSent: make(map[uint64]time.Duration),
		progress:  make(map[ID]*progress),
	}
	o.follow(n)
	return o
}

// follow makes the set of watched members that of the newest membership.
func (o *office) follow(n *Node) {
	membership := n.membership()
	for id := range o.progress {
		if !membership.has(id) {
			delete(o.progress, id)
		}
	}
	for _, member := range membership.Members {
		if member.ID != n.config.ID && o.progress[member.ID] == nil {
			o.progress[member.ID] = newProgress(n.log.last() + 1)
		}
	}
}

func (o *office) report(n *Node) (map[ID]uint64, map[ID]time.Duration) {
	match := map[ID]uint64{n.config.ID: n.log.stable}
	contact := map[ID]time.Duration{n.config.ID: n.now}
	for id, member := range o.progress {
		match[id] = member.match
		if member.answered {
			contact[id] = member.lastAnswer
		}
	}
	return match, contact
}

// beginRound starts a heartbeat round.
func (n *Node) beginRound() {
	o := n.office
	o.round++
	o.roundSent[o.round] = n.now
	o.nextHeartbeat = n.now + n.config.HeartbeatInterval
	for round, sent := range o.roundSent {
		if n.now-sent > roundMemoryTimeouts*n.config.ElectionTimeout {
			delete(o.roundSent, round)
		}
	}
	for _, member := range n.membership().Members {
		if member.ID != n.config.ID {
			n.sendHeartbeat(member.ID)
		}
	}
}

func (n *Node) sendHeartbeat(to ID) {
	match := n.office.progress[to].match
	n.send(Message{
		Kind:   MessageHeartbeat,
		To:     to,
		Commit: min(n.commit, match), // the member may hold something else beyond
		Round:  n.office.round,
	})
}

// noteAnswer records that a member answered a round.
func (n *Node) noteAnswer(from ID, round uint64) *progress {
	member := n.office.progress[from]
	if member == nil {
		return nil
	}
	member.answered = true
	member.lastAnswer = n.now
	if sent, known := n.office.roundSent[round]; known && round > member.round {
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
// already be in office.
func (n *Node) QuorumContact() (time.Duration, bool) {
	if n.role != Leader {
		return 0, false
	}
	o := n.office
	var acknowledged []time.Duration
	voters := 0
	for _, member := range n.membership().Members {
		if member.Learner {
			continue
		}
		voters++
		if member.ID == n.config.ID {
			acknowledged = append(acknowledged, o.roundSent[o.round])
		} else if other := o.progress[member.ID]; other.round > 0 {
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

// checkQuorum ends the office of a leader without a recent majority.
func (n *Node) checkQuorum() {
	newest := n.office.elected
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
	if n.now >= n.office.nextHeartbeat {
		n.beginRound()
	}
}

func (n *Node) handleHeartbeat(message Message) {
	n.followLeader(message.From)
	n.commitTo(message.Commit)
	n.send(Message{Kind: MessageHeartbeatReply, To: message.From, Round: message.Round})
}

func (n *Node) handleHeartbeatReply(message Message) {
	if n.role != Leader {
		return
	}
	member := n.noteAnswer(message.From, message.Round)
	if member == nil {
		return
	}
	member.resume()
	if member.match < n.log.last() {
		n.sendAppend(message.From, member, true)
	}
}
