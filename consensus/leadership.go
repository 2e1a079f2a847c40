package consensus

import "time"

// leadership is the volatile state of a leader, from its election until it steps down.
type leadership struct {
	electedAt       time.Duration
	nextHeartbeatAt time.Duration
	// round is the number of the newest heartbeat round, from 1.
	round uint64
	// roundSentAt has the send time of each recent round, see roundRetentionTimeouts.
	roundSentAt map[uint64]time.Duration
	// progress has an item for every other member of the newest membership.
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

// trackMembers adds and removes items of progress to match the newest membership.
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

// becomeLeader makes the member the leader. It appends an entry of the new term at once,
// since entries of earlier terms are committed only together with one of the leader's
// own term (Raft, section 5.4.2).
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
