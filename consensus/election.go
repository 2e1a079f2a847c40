package consensus

import "time"

// Elections. Invariants:
//   - a member gives one vote a term, and only to a log at least as complete as
//     its own; so two leaders of one term, or a leader without a committed
//     entry, are impossible
//   - a pre-vote changes nothing at the member asked, so a member that was
//     frozen or cut off does not disturb the group when it returns
//   - a member that has heard its leader within ElectionTimeout helps nobody
//     else, unless the leader itself asked for the election
//   - a member that has just given its vote begins no other election and helps
//     to none until the news that it was won may be here

func (n *Node) resetElectionDeadline() {
	least := n.config.ElectionTimeout
	spread := least
	if n.starting && n.config.StartupTimeout > 0 {
		// Several members that start at once must not keep splitting the votes.
		least = n.config.StartupTimeout
		spread = startupSpread * least
	}
	n.electionDeadline = n.now + least + time.Duration(n.random.Int64N(int64(spread)))
}

// startupSpread is the range of the first elections' times, in StartupTimeouts.
const startupSpread = 3

// backingPart divides ElectionTimeout into the time for which a member that has given
// its vote helps no other one: as long as the news of a won election may take.
const backingPart = 2

// hearsLeader tells whether this member knows a present leader.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		n.checkQuorum()
		return n.role == Leader
	}
	return n.leader != None && n.now-n.heardLeader < n.config.ElectionTimeout
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.leadership = nil
	n.ballots = nil
	n.resetElectionDeadline()
}

// followLeader notes a sign of life from the leader of the present term.
func (n *Node) followLeader(leader ID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.heardLeader = n.now
	n.starting = false
	n.resetElectionDeadline()
}

func (n *Node) electionTimedOut() {
	n.resetElectionDeadline()
	if !n.membership().votes(n.config.ID) {
		n.leader = None
		return
	}
	n.campaignBeforeVote()
}

// tickElection begins an election when its time has come, and asks voters again
// that have not answered one that is under way: they may have started since.
func (n *Node) tickElection() {
	if n.now >= n.electionDeadline {
		n.electionTimedOut()
		return
	}
	if n.now < n.askAgain {
		return
	}
	switch n.role {
	case PreCandidate:
		n.askVoters(Message{Kind: MessagePreVote, Term: n.term + 1})
	case Candidate:
		n.askVoters(Message{Kind: MessageVote, LeadershipTransfer: n.transferred})
	}
}

// campaignBeforeVote asks whether an election could be won.
func (n *Node) campaignBeforeVote() {
	n.role = PreCandidate
	n.leader = None
	n.ballots = map[ID]bool{n.config.ID: true}
	n.askVoters(Message{Kind: MessagePreVote, Term: n.term + 1})
	n.countBallots()
}

// campaign starts an election in a new term.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.leader = None
	n.term++
	n.vote = n.config.ID
	n.ballots = map[ID]bool{n.config.ID: true}
	n.transferred = transfer
	n.back()
	n.askVoters(Message{Kind: MessageVote, LeadershipTransfer: transfer})
	n.countBallots()
}

// askVoters asks the voters whose ballots are not known yet.
func (n *Node) askVoters(message Message) {
	n.askAgain = n.now + n.config.HeartbeatInterval
	message.Index = n.log.last()
	message.LogTerm = n.log.lastTerm()
	for _, member := range n.membership().Members {
		if _, cast := n.ballots[member.ID]; member.Learner || cast {
			continue
		}
		message.To = member.ID
		n.send(message)
	}
}

func (n *Node) handlePreVote(message Message) {
	if n.hearsLeader() && !message.LeadershipTransfer || n.backsAnother(message.From) {
		return
	}
	granted := message.Term > n.term && n.acceptableLog(message)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !granted {
		reply.Term = n.term
		reply.Reject = true
	}
	n.send(reply)
}

// back stands by the vote that was just given: this member neither begins another
// election nor helps to one before the news of a won election could be here.
func (n *Node) back() {
	n.backedUntil = n.now + n.config.ElectionTimeout/backingPart
	n.resetElectionDeadline()
	n.electionDeadline = max(n.electionDeadline, n.backedUntil)
}

// backsAnother says whether this member has just voted for another one than asks.
// That one may lead without having been heard here, and a new election would unseat
// it.
func (n *Node) backsAnother(asking ID) bool { return n.now < n.backedUntil && n.vote != asking }

func (n *Node) handleVote(message Message) {
	free := n.vote == None && n.leader == None || n.vote == message.From
	granted := free && n.acceptableLog(message)
	if granted {
		n.vote = message.From
		n.back()
	}
	n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: !granted})
}

func (n *Node) acceptableLog(message Message) bool {
	if n.defects.Has(defectVoteIgnoresLog) {
		return true
	}
	return n.log.upToDate(message.Index, message.LogTerm)
}

func (n *Node) handleBallot(message Message) {
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
	n.ballots[message.From] = !message.Reject
	n.countBallots()
}

func (n *Node) countBallots() {
	voters, granted, rejected := 0, 0, 0
	for _, member := range n.membership().Members {
		if member.Learner {
			continue
		}
		voters++
		if ballot, cast := n.ballots[member.ID]; cast && ballot {
			granted++
		} else if cast {
			rejected++
		}
	}
	quorum := voters/2 + 1
	switch {
	case granted >= quorum && n.role == PreCandidate:
		n.campaign(false)
	case granted >= quorum:
		n.becomeLeader()
	case rejected >= quorum:
		n.becomeFollower(n.term, None)
	}
}

// becomeLeader begins to lead and appends the entry that lets earlier terms'
// entries be committed (Raft, section 5.4.2).
func (n *Node) becomeLeader() {
	n.role = Leader
	n.starting = false
	n.leader = n.config.ID
	n.ballots = nil
	n.leadership = newLeadership(n)
	n.appendOwn(EntryNoop, nil)
	n.beginRound()
}
