package consensus

import "time"

// leadership is a leader's volatile state, from its election to the end of its term.
type leadership struct {
	electedAt       time.Duration
	nextHeartbeatAt time.Duration
	// round is the number of the newest heartbeat round, from 1.
	round uint64
	// roundSentAt is when each round was sent, for as long as replies to it count.
	roundSentAt map[uint64]time.Duration
	// progress has each other member of the newest membership.
	progress map[ID]*progress

	transferTo       ID // None unless a leadership transfer is in progress
	transferDeadline time.Duration
}

func newLeadership(n *Node) *leadership {
	l := &leadership{
		electedAt:   n.now,
		roundSentAt: make(map[uint64]time.Duration),
		progress:    make(map[ID]*progress),
	}
	l.trackMembers(n)
	return l
}

// trackMembers makes progress that of the newest membership's members.
func (l *leadership) trackMembers(n *Node) {
	membership := n.membership()
	for id := range l.progress {
		if !membership.contains(id) {
			delete(l.progress, id)
		}
	}
	for _, member := range membership.Members {
		if member.ID != n.config.ID && l.progress[member.ID] == nil {
			l.progress[member.ID] = newProgress(n.log.lastIndex() + 1)
		}
	}
}

// becomeLeader starts the leadership. It appends an entry of the new term at once,
// since entries of earlier terms are only committed with one (Raft, section 5.4.2).
func (n *Node) becomeLeader() {
	n.role = Leader
	n.awaitingFirstLeader = false
	n.leader = n.config.ID
	n.votes = nil
	n.leadership = newLeadership(n)
	n.appendEntry(EntryNoop, nil)
	n.startHeartbeatRound()
}

func (n *Node) tickLeader() {
	n.checkQuorum()
	if n.role != Leader {
		return
	}
	n.expireTransfer()
	if n.now >= n.leadership.nextHeartbeatAt {
		n.startHeartbeatRound()
	}
}
