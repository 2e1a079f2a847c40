package consensus

import "time"

// Elections. Invariants:
//   - a member grants at most one vote per term, and only to a candidate whose log is
//     at least as up-to-date as its own; so no term has two leaders, and no leader
//     lacks a committed entry
//   - a pre-vote changes no state at its receiver, so a member that was frozen or
//     partitioned does not disrupt the group when it returns
//   - a member that has heard from its leader within ElectionTimeout supports no
//     election, unless the leader itself requested it
//   - a member that has just granted its vote neither starts nor supports another
//     election until the winner's first message has had time to arrive

const (
	// startupSpread is the width of the range from which the first election timeout
	// after a start is drawn, as a multiple of StartupTimeout.
	startupSpread = 3
	// voteHoldOffDivisor determines how long a member that has granted its vote supports
	// no other candidate: ElectionTimeout divided by voteHoldOffDivisor.
	voteHoldOffDivisor = 2
)

func (n *Node) resetElectionDeadline() {
	minimum := n.config.ElectionTimeout
	spread := minimum
	if n.awaitingFirstLeader && n.config.StartupTimeout > 0 {
		// With a narrow range, members that start together would split the vote repeatedly.
		minimum = n.config.StartupTimeout
		spread = startupSpread * minimum
	}
	n.electionDeadline = n.now + minimum + time.Duration(n.random.Int64N(int64(spread)))
}

// tickElection starts an election at the election deadline. While an election is in
// progress, it periodically repeats the request to the voters that have not replied:
// they may not have been running when the last one was sent.
func (n *Node) tickElection() {
	if n.now >= n.electionDeadline {
		n.handleElectionTimeout()
		return
	}
	if n.now < n.nextVoteRequest {
		return
	}
	switch n.role {
	case PreCandidate:
		n.requestPreVotes()
	case Candidate:
		n.requestVotes()
	}
}

func (n *Node) handleElectionTimeout() {
	n.resetElectionDeadline()
	if !n.membership().isVoter(n.config.ID) {
		n.leader = None
		return
	}
	n.preCampaign()
}

// preCampaign asks the voters whether this member could win an election (Raft thesis,
// section 9.6). It does not increment the term, which would depose a current leader.
func (n *Node) preCampaign() {
	n.role = PreCandidate
	n.leader = None
	n.votes = map[ID]bool{n.config.ID: true}
	n.requestPreVotes()
	n.tallyVotes()
}

// campaign starts an election in a new term. transfer is true if the leader requested
// the election.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.leader = None
	n.term++
	n.vote = n.config.ID
	n.votes = map[ID]bool{n.config.ID: true}
	n.electedByTransfer = transfer
	n.startVoteHoldOff()
	n.requestVotes()
	n.tallyVotes()
}

func (n *Node) requestPreVotes() {
	n.sendToVoters(Message{Kind: MessagePreVote, Term: n.term + 1})
}

func (n *Node) requestVotes() {
	n.sendToVoters(Message{Kind: MessageVote, LeadershipTransfer: n.electedByTransfer})
}

// sendToVoters sends a vote request to the voters that have not replied yet.
func (n *Node) sendToVoters(request Message) {
	n.nextVoteRequest = n.now + n.config.HeartbeatInterval
	request.Index = n.log.lastIndex()
	request.LogTerm = n.log.lastTerm()
	for _, member := range n.membership().Members {
		if _, replied := n.votes[member.ID]; member.Learner || replied {
			continue
		}
		request.To = member.ID
		n.send(request)
	}
}

// handlePreVote replies whether this member would grant its vote in the message's term.
// It does not reply while it must not support another election: the candidate then
// repeats its request instead of counting a rejection.
func (n *Node) handlePreVote(message Message) {
	if n.hasCurrentLeader() && !message.LeadershipTransfer || n.inVoteHoldOff(message.From) {
		return
	}
	granted := message.Term > n.term && n.candidateLogUpToDate(message)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !granted {
		reply.Term = n.term
		reply.Reject = true
	}
	n.send(reply)
}

// handleVote grants this member's vote of the term to the first candidate whose log is
// up-to-date. A repeated request of that candidate is granted again, since the reply may
// have been lost.
func (n *Node) handleVote(message Message) {
	canVote := n.vote == None && n.leader == None || n.vote == message.From
	granted := canVote && n.candidateLogUpToDate(message)
	if granted {
		n.vote = message.From
		n.startVoteHoldOff()
	}
	n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: !granted})
}

// hasCurrentLeader reports whether this member leads, or has heard from its leader
// within ElectionTimeout. If it leads but has lost its quorum, it steps down first.
func (n *Node) hasCurrentLeader() bool {
	if n.role == Leader {
		n.checkQuorum()
		return n.role == Leader
	}
	return n.leader != None && n.now-n.lastLeaderContact < n.config.ElectionTimeout
}

// startVoteHoldOff is called when this member grants its vote. Until the candidate's
// first message as leader has had time to arrive, another election could only depose a
// working leader.
func (n *Node) startVoteHoldOff() {
	n.voteHoldOffEnd = n.now + n.config.ElectionTimeout/voteHoldOffDivisor
	n.resetElectionDeadline()
	n.electionDeadline = max(n.electionDeadline, n.voteHoldOffEnd)
}

// inVoteHoldOff reports whether this member has just voted for a member other than candidate.
func (n *Node) inVoteHoldOff(candidate ID) bool {
	return n.now < n.voteHoldOffEnd && n.vote != candidate
}

// candidateLogUpToDate reports whether the candidate's log is at least as up-to-date as
// this member's (Raft, section 5.4.1).
func (n *Node) candidateLogUpToDate(message Message) bool {
	if n.defects.Has(defectVoteIgnoresLog) {
		return true
	}
	return n.log.isUpToDate(message.Index, message.LogTerm)
}

// handleVoteReply counts a reply to the current pre-vote or election. A grant for an
// earlier pre-vote is recognized by its term and ignored.
func (n *Node) handleVoteReply(message Message) {
	expected := Candidate
	if message.Kind == MessagePreVoteReply {
		expected = PreCandidate
	}
	if n.role != expected {
		return
	}
	if expected == PreCandidate && !message.Reject && message.Term != n.term+1 {
		return
	}
	n.votes[message.From] = !message.Reject
	n.tallyVotes()
}

// tallyVotes ends the pre-vote or election once a quorum has granted or rejected it.
func (n *Node) tallyVotes() {
	voters, granted, rejected := 0, 0, 0
	for _, member := range n.membership().Members {
		if member.Learner {
			continue
		}
		voters++
		if vote, replied := n.votes[member.ID]; replied && vote {
			granted++
		} else if replied {
			rejected++
		}
	}
	switch {
	case granted >= quorum(voters) && !n.requiredVotesGranted():
		// wait for the others
	case granted >= quorum(voters) && n.role == PreCandidate:
		n.campaign(false)
	case granted >= quorum(voters):
		n.becomeLeader()
	case rejected >= quorum(voters):
		n.becomeFollower(n.term, None)
	}
}

// becomeFollower makes the member a follower, whatever its role was. If term is newer
// than the member's, the member has not voted in it yet.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.leadership = nil
	n.votes = nil
	n.resetElectionDeadline()
}

// recordLeaderContact records that a message from the current term's leader arrived.
func (n *Node) recordLeaderContact(leader ID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.lastLeaderContact = n.now
	n.awaitingFirstLeader = false
	n.resetElectionDeadline()
}
