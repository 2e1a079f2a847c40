package consensus

import "time"

// Elections. Invariants:
//   - a member gives one vote a term, and only to a candidate whose log is at least as
//     up-to-date as its own; so there are never two leaders of one term, nor a leader
//     that lacks a committed entry
//   - a pre-vote changes nothing at its receiver, so a member that was frozen or
//     partitioned does not disturb the group when it returns
//   - a member that has had contact to its leader within ElectionTimeout supports no
//     election, unless the leader itself requested it
//   - a member that has just given its vote neither starts nor supports another
//     election until the winner's first message can have arrived

const (
	// startupSpread is the width of the range from which the first election timeout
	// after a start is drawn, in StartupTimeouts.
	startupSpread = 3
	// voteHoldOffDivisor divides ElectionTimeout into the time for which a member that
	// has given its vote supports no other candidate.
	voteHoldOffDivisor = 2
)

func (n *Node) resetElectionDeadline() {
	least := n.config.ElectionTimeout
	spread := least
	if n.awaitingFirstLeader && n.config.StartupTimeout > 0 {
		// A wide spread, or members that start together would keep splitting the vote.
		least = n.config.StartupTimeout
		spread = startupSpread * least
	}
	n.electionDeadline = n.now + least + time.Duration(n.random.Int64N(int64(spread)))
}

// tickElection starts an election at the deadline. In one that is in progress it asks
// the voters again that have not replied: they may have been started since.
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

// preCampaign asks the voters whether an election could be won (Raft thesis, section
// 9.6), without a new term that would depose a leader.
func (n *Node) preCampaign() {
	n.role = PreCandidate
	n.leader = None
	n.votes = map[ID]bool{n.config.ID: true}
	n.requestPreVotes()
	n.tallyVotes()
}

// campaign starts an election in a new term.
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
// It does not reply to a candidate whose election it must not support at present, which
// therefore asks again instead of counting a rejection.
func (n *Node) handlePreVote(message Message) {
	if n.hasCurrentLeader() && !message.LeadershipTransfer || n.holdsOff(message.From) {
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
// up-to-date, and grants it again if the reply was lost.
func (n *Node) handleVote(message Message) {
	free := n.vote == None && n.leader == None || n.vote == message.From
	granted := free && n.candidateLogUpToDate(message)
	if granted {
		n.vote = message.From
		n.startVoteHoldOff()
	}
	n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: !granted})
}

// hasCurrentLeader reports whether this member leads, or had contact to its leader
// within ElectionTimeout. A leader that has lost its quorum steps down first.
func (n *Node) hasCurrentLeader() bool {
	if n.role == Leader {
		n.checkQuorum()
		return n.role == Leader
	}
	return n.leader != None && n.now-n.lastLeaderContact < n.config.ElectionTimeout
}

// startVoteHoldOff is called when this member gives its vote. Until the candidate's
// first message as a leader can have arrived, another election would depose the winner
// for nothing.
func (n *Node) startVoteHoldOff() {
	n.voteHoldOffEnd = n.now + n.config.ElectionTimeout/voteHoldOffDivisor
	n.resetElectionDeadline()
	n.electionDeadline = max(n.electionDeadline, n.voteHoldOffEnd)
}

// holdsOff reports whether this member has just voted for somebody else than candidate.
func (n *Node) holdsOff(candidate ID) bool {
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

// handleVoteReply counts a reply to the present pre-vote or election. A grant of an
// earlier pre-vote is told apart by the term that it is for.
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
	case granted >= quorum(voters) && n.role == PreCandidate:
		n.campaign(false)
	case granted >= quorum(voters):
		n.becomeLeader()
	case rejected >= quorum(voters):
		n.becomeFollower(n.term, None)
	}
}

// becomeFollower ends whatever role the member has. In a newer term it has no vote yet.
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

// recordLeaderContact records a message of the present term's leader.
func (n *Node) recordLeaderContact(leader ID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.lastLeaderContact = n.now
	n.awaitingFirstLeader = false
	n.resetElectionDeadline()
}
