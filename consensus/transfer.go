package consensus

import "time"

// TransferLeadership starts to transfer the leadership to another voter (Raft thesis,
// section 3.10): once that voter's log is complete, it is asked to start an election.
// Until the transfer ends, proposals fail with ErrLeadershipTransfer. The transfer is
// aborted after one ElectionTimeout. TransferLeadership returns ErrNotVoter if the target
// is not a voter or is this member, and otherwise the errors of Propose.
func (n *Node) TransferLeadership(now time.Duration, to ID) error {
	n.advanceClock(now)
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	member := n.leadership.progress[to]
	if member == nil || !n.membership().isVoter(to) {
		return ErrNotVoter
	}
	n.leadership.transferTo = to
	n.leadership.transferDeadline = n.now + n.config.ElectionTimeout
	n.replicatePending = true
	n.finishTransfer(to)
	return nil
}

// finishTransfer asks the transfer's target to start an election once its log is as
// long as the leader's. A target that lacks entries could lose the election.
func (n *Node) finishTransfer(id ID) {
	if n.role != Leader || n.leadership.transferTo != id {
		return
	}
	if n.leadership.progress[id].match == n.log.lastIndex() {
		n.send(Message{Kind: MessageTimeoutNow, To: id})
	}
}

func (n *Node) expireTransfer() {
	if n.leadership.transferTo != None && n.now >= n.leadership.transferDeadline {
		n.leadership.transferTo = None
	}
}

// handleTimeoutNow starts an election at the request of the leader. It skips the
// pre-vote, which the others would ignore because they have a current leader.
func (n *Node) handleTimeoutNow(message Message) {
	if n.role != Follower || !n.membership().isVoter(n.config.ID) {
		return
	}
	if n.leader != None && n.leader != message.From {
		return
	}
	n.campaign(true)
}
