package consensus

import "time"

// Replication. Invariants:
//   - match <= what the member has synced, since its answer follows its write
//   - next > match
//   - an entry counts as committed only when a majority of voters holds it and
//     it belongs to the leader's own term (Raft, section 5.4.2)

// progressState says how entries are sent to a member.
type progressState uint8

const (
	progressProbe     progressState = iota // one append at a time, looking for the match
	progressReplicate                      // pipelined
	progressSnapshot                       // a snapshot is on its way
)

// progress is what the leader knows of one other member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the last index of every append not yet answered.
	inflight []uint64
	// probing is true while the answer to a probe is awaited.
	probing      bool
	sentCommit   uint64
	snapshotSent time.Duration

	answered   bool
	lastAnswer time.Duration
	round      uint64
	roundSent  time.Duration
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

// resume permits one more message after a sign of life: an append or its answer
// may have been lost.
func (p *progress) resume() {
	p.probing = false
	if len(p.inflight) > 0 {
		p.inflight = p.inflight[1:]
	}
}

func (p *progress) probe(next uint64) {
	p.state = progressProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.probing = false
}

// acknowledge notes that the member holds the log up to index. It reports
// whether that is news.
func (p *progress) acknowledge(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return news
}

// Propose appends data to the log. The entry is committed if, and only if, the
// entry that is later handed out at this index carries this term.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	return n.appendOwn(EntryNormal, data), n.term, nil
}

func (n *Node) acceptsProposals() error {
	if n.role == Leader {
		n.checkQuorum()
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	n.expireTransfer()
	if n.leadership.transferTo != None {
		return ErrLeadershipTransfer
	}
	return nil
}

func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	entry := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(entry)
	n.flush = true
	return entry.Index
}

func (n *Node) replicateToAll() {
	if n.role != Leader {
		return
	}
	for _, member := range n.membership().Members {
		if other := n.leadership.progress[member.ID]; other != nil {
			n.replicate(member.ID, other)
		}
	}
}

// replicate sends a member what it lacks, as far as its window permits.
func (n *Node) replicate(to ID, member *progress) {
	for member.next <= n.log.last() && n.sendAppend(to, member, false) {
	}
	if member.state == progressReplicate && member.sentCommit < n.commit {
		n.sendAppend(to, member, true)
	}
}

// sendAppend sends one append, empty only if permitted. It reports whether
// another one may follow.
func (n *Node) sendAppend(to ID, member *progress, permitEmpty bool) bool {
	if n.blocked(member) {
		return false
	}
	previousTerm, known := n.log.term(member.next - 1)
	if !known || member.next <= n.log.boundaryIndex {
		n.sendSnapshot(to, member)
		return false
	}
	entries := n.log.slice(member.next, n.log.last(), n.config.MaxAppendBytes)
	if len(entries) == 0 && !permitEmpty {
		return false
	}
	n.send(Message{
		Kind:           MessageAppend,
		To:             to,
		Index:          member.next - 1,
		LogTerm:        previousTerm,
		Commit:         n.commit,
		Entries:        entries,
		HeartbeatRound: n.leadership.round,
	})
	member.sentCommit = n.commit
	if member.state == progressProbe {
		member.probing = true
		return false
	}
	if len(entries) > 0 {
		last := entries[len(entries)-1].Index
		member.next = last + 1
		member.inflight = append(member.inflight, last)
	}
	return true
}

func (n *Node) blocked(member *progress) bool {
	switch member.state {
	case progressProbe:
		return member.probing
	case progressSnapshot:
		return n.now-member.snapshotSent < snapshotResendTimeouts*n.config.ElectionTimeout
	default:
		return len(member.inflight) >= n.config.MaxInflight
	}
}

func (n *Node) handleAppend(message Message) {
	n.followLeader(message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, HeartbeatRound: message.HeartbeatRound}
	if message.Index < n.commit {
		// What is committed here is the same everywhere.
		reply.Index = n.commit
		n.send(reply)
		return
	}
	if !n.log.matches(message.Index, message.LogTerm) {
		reply.Index = message.Index
		reply.Reject = true
		reply.RejectHint = n.log.conflictHint(message.Index, message.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.RejectHint)
		n.send(reply)
		return
	}
	n.acceptEntries(message.Entries)
	reply.Index = message.Index + uint64(len(message.Entries))
	n.commitTo(min(message.Commit, reply.Index))
	n.send(reply)
}

// acceptEntries takes a leader's entries in. Only a real conflict truncates: a
// late message must not drop what a newer one has brought.
func (n *Node) acceptEntries(entries []Entry) {
	for position, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.last() {
			n.log.truncate(entry.Index)
			n.forgetConfigurations(entry.Index)
		}
		n.log.append(entries[position:]...)
		n.noteConfigurations(entries[position:])
		return
	}
}

// commitTo raises the commit of a follower.
func (n *Node) commitTo(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
}

func (n *Node) handleAppendReply(message Message) {
	if n.role != Leader {
		return
	}
	member := n.noteAnswer(message.From, message.HeartbeatRound)
	if member == nil {
		return
	}
	if message.Reject {
		n.handleRejection(message, member)
		return
	}
	if message.Index > n.log.last() {
		return
	}
	news := member.acknowledge(message.Index)
	if member.state == progressProbe || member.state == progressSnapshot && member.match >= n.log.boundaryIndex {
		member.probe(member.match + 1)
		member.state = progressReplicate
	}
	n.flush = true
	if news {
		n.advanceCommit()
		n.finishTransfer(message.From)
	}
}

// handleRejection looks for the match further back, past whole terms.
func (n *Node) handleRejection(message Message, member *progress) {
	if message.Index <= member.match || member.state == progressSnapshot {
		return
	}
	if member.state == progressProbe && message.Index != member.next-1 {
		return
	}
	hint := message.RejectHint
	if message.LogTerm > 0 {
		hint = n.log.conflictHint(hint, message.LogTerm)
	}
	member.probe(min(message.Index, hint+1))
	n.sendAppend(message.From, member, true)
}

// advanceCommit commits what a majority of voters has on disk.
func (n *Node) advanceCommit() {
	index := n.majorityMatch()
	if index <= n.commit {
		return
	}
	term, known := n.log.term(index)
	if !known || term != n.term && !n.defects.Has(defectCommitOlderTerm) {
		return
	}
	n.commit = index
	n.flush = true
	n.leaveIfRemoved()
}

// majorityMatch returns the highest index that a majority of voters holds.
func (n *Node) majorityMatch() uint64 {
	var matches []uint64
	for _, member := range n.membership().Members {
		if member.Learner {
			continue
		}
		if member.ID == n.config.ID {
			matches = append(matches, n.log.stable)
		} else {
			matches = append(matches, n.leadership.progress[member.ID].match)
		}
	}
	return quorumValue(matches)
}
