package consensus

import "time"

// progressState is the mode in which a leader sends log entries to a member.
type progressState uint8

const (
	// progressProbe sends one append at a time until one is accepted, which determines
	// the match index.
	progressProbe progressState = iota
	// progressReplicate sends appends without waiting for replies, up to
	// Config.MaxInflight.
	progressReplicate
	// progressSnapshot sends nothing while a snapshot is in flight.
	progressSnapshot
)

// snapshotResendTimeouts is the number of election timeouts after which an
// unacknowledged snapshot is sent again.
const snapshotResendTimeouts = 4

// progress is a leader's view of another member (Raft's matchIndex and nextIndex).
// Invariants:
//   - match <= the last index on the member's disk, since it replies after the write
//   - match < next
type progress struct {
	// knowsWitnesses is true if the member's last heartbeat reply said so.
	knowsWitnesses bool
	state          progressState
	match          uint64
	next           uint64
	// inflight has the last index of each unacknowledged append, in ascending order.
	inflight []uint64
	// probeInFlight is true in progressProbe while an append is unanswered.
	probeInFlight bool
	// sentCommit is the commit index that the last append carried.
	sentCommit     uint64
	snapshotSentAt time.Duration

	responded    bool // in this term
	lastResponse time.Duration
	// acknowledgedRound is the newest heartbeat round that the member has echoed, or 0;
	// acknowledgedRoundSentAt is when that round was sent.
	acknowledgedRound       uint64
	acknowledgedRoundSentAt time.Duration
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

// resume allows one more append after the member has responded to a heartbeat. An append
// or its reply may have been lost, and would otherwise occupy its place in inflight
// forever.
func (p *progress) resume() {
	p.probeInFlight = false
	if len(p.inflight) > 0 {
		p.inflight = p.inflight[1:]
	}
}

// becomeProbe switches to sending one append at a time, starting at next.
func (p *progress) becomeProbe(next uint64) {
	p.state = progressProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.probeInFlight = false
}

// becomeReplicate switches to sending appends without waiting for replies, starting
// after the match index.
func (p *progress) becomeReplicate() {
	p.becomeProbe(p.match + 1)
	p.state = progressReplicate
}

// acknowledge records that the member's log matches up to index. It reports whether
// match has advanced.
func (p *progress) acknowledge(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return advanced
}

// isPaused reports whether flow control currently forbids appends to the member.
func (n *Node) isPaused(member *progress) bool {
	switch member.state {
	case progressProbe:
		return member.probeInFlight
	case progressSnapshot:
		return n.now-member.snapshotSentAt < snapshotResendTimeouts*n.config.ElectionTimeout
	default:
		return len(member.inflight) >= n.config.MaxInflight
	}
}
