package consensus

import "time"

// TransferLeadership hands the leadership over to a voter as soon as that voter
// holds the whole log. Proposals are refused meanwhile. It is given up after
// one ElectionTimeout.
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

// finishTransfer calls the successor to an election once it holds everything.
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

// handleTimeoutNow starts an election at the leader's own request.
func (n *Node) handleTimeoutNow(message Message) {
	if n.role != Follower || !n.membership().isVoter(n.config.ID) {
		return
	}
	if n.leader != None && n.leader != message.From {
		return
	}
	n.campaign(true)
}
