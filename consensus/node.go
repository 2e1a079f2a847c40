package consensus

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// Node is one member's state machine. It is not safe for concurrent use. Invariants:
//   - the term never falls; in one term at most one vote is given
//   - the commit index never falls, and never exceeds the log
//   - no message leaves before the Ready that carries it has been persisted, so
//     whatever a message promises is on the disk
type Node struct {
	config  Config
	random  *rand.Rand
	defects defect.Set

	role    Role
	term    uint64
	vote    ID
	leader  ID
	commit  uint64
	applied uint64 // what the driver has acknowledged as applied

	log *replicatedLog
	// configurations are the memberships in the log by index; the last one is in effect.
	configurations []configuration

	// persistedHardState is the hard state of the last Ready.
	persistedHardState HardState
	// pendingSnapshot is received, but not acknowledged as applied yet.
	pendingSnapshot *Snapshot
	outbox          []Message
	// replicatePending makes the next Ready send members what they lack, so that the
	// proposals between two Readies share their appends.
	replicatePending bool

	clockStarted bool
	now          time.Duration
	// awaitingFirstLeader is true at a member that is restored from its disk and has
	// had no contact to a leader since, see Config.StartupTimeout.
	awaitingFirstLeader bool
	electionDeadline    time.Duration
	lastLeaderContact   time.Duration

	// votes are the replies in the present election or pre-vote, true if granted.
	votes map[ID]bool
	// voteHoldOffEnd is until when this member neither starts nor supports another
	// election, see startVoteHoldOff.
	voteHoldOffEnd time.Duration
	// nextVoteRequest is when voters that have not replied are asked again.
	nextVoteRequest time.Duration
	// electedByTransfer is true in an election that the leader requested.
	electedByTransfer bool

	// leadership is nil unless the member leads.
	leadership *leadership
}

// New returns a Node that is restored from what its disk holds, or one that belongs to
// no group yet and receives its log from a leader. It returns ErrInvalidConfig or
// ErrMembershipInvalid if the restored state is not valid.
func New(config Config) (*Node, error) {
	if config.ID == None {
		return nil, fmt.Errorf("%w: no identity", ErrInvalidConfig)
	}
	config.setDefaults()
	log, err := newLog(config.Snapshot, config.Entries)
	if err != nil {
		return nil, err
	}
	node := &Node{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, identitySeed(config.ID))),
		log:     log,
		term:    config.HardState.Term,
		vote:    config.HardState.Vote,
		commit:  min(max(config.HardState.Commit, config.Snapshot.Index), log.lastIndex()),
		applied: max(config.Applied, config.Snapshot.Index),
	}
	if node.applied > node.commit {
		return nil, fmt.Errorf("%w: applied %d is beyond the commit %d", ErrInvalidConfig, node.applied, node.commit)
	}
	node.raiseTermToLog()
	if err := node.restoreConfigurations(); err != nil {
		return nil, err
	}
	node.persistedHardState = node.hardState()
	node.awaitingFirstLeader = node.term > 0
	node.resetElectionDeadline()
	// The log has them now; the Config would keep their memory for good.
	node.config.Entries = nil
	node.config.Snapshot = Snapshot{}
	return node, nil
}

// identitySeed makes members of one Config.Seed draw different election timeouts.
func identitySeed(id ID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// raiseTermToLog covers a crash between the write of a snapshot and that of the hard
// state. The term of the log's end was this member's term then, and it cannot have
// voted in it, since a vote would be in the hard state.
func (n *Node) raiseTermToLog() {
	if n.log.lastTerm() > n.term {
		n.term = n.log.lastTerm()
		n.vote = None
	}
}

// Tick advances the clock, and starts elections and heartbeat rounds that are due.
// Call it several times in each Config.HeartbeatInterval, and at once after a pause of
// the process.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickElection()
}

// advanceClock never turns the clock back. The first call starts it: before, the
// election deadline had no time to count from.
func (n *Node) advanceClock(now time.Duration) {
	if !n.clockStarted {
		n.clockStarted = true
		n.now = now
		n.resetElectionDeadline()
	}
	n.now = max(n.now, now)
}

// Step processes a message from another member. It returns ErrMisaddressed or
// ErrMalformed, and leaves the node as it is, if the message is not for this member or
// not valid.
func (n *Node) Step(now time.Duration, message Message) error {
	if message.To != n.config.ID {
		return ErrMisaddressed
	}
	if err := message.validate(); err != nil {
		return err
	}
	n.advanceClock(now)
	if !n.reconcileTerm(message) {
		return nil
	}
	n.handle(message)
	return nil
}

// reconcileTerm compares the message's term with the member's (Raft, section 5.1) and
// reports whether the message is to be handled.
func (n *Node) reconcileTerm(message Message) bool {
	switch {
	case message.Term > n.term:
		return n.handleNewerTerm(message)
	case message.Term < n.term:
		n.rejectOlderTerm(message)
		return false
	default:
		return true
	}
}

// handleNewerTerm adopts the message's term, unless it is only that of an election that
// may follow, or of one that a member with a current leader must not support. It reports
// whether the message is to be handled.
func (n *Node) handleNewerTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true // nobody is in that term yet
	case MessagePreVoteReply:
		if !message.Reject {
			return true // the term that this member asked about
		}
	case MessageVote:
		if n.hasCurrentLeader() && !message.LeadershipTransfer {
			return false
		}
	}
	n.becomeFollower(message.Term, None)
	return true
}

// rejectOlderTerm sends a deposed leader or a late candidate the newer term. If this
// member is the one with the higher term, the leader learns it so and steps down:
// otherwise this member could never rejoin, since the others ignore its vote requests
// while they have contact to the leader.
func (n *Node) rejectOlderTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: message.From, Index: message.Index, Reject: true})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
	}
}

// handle handles a message of the present term, or of a pre-vote for a later one.
func (n *Node) handle(message Message) {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessageVote:
		n.handleVote(message)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(message)
	case MessageAppend:
		n.handleAppend(message)
	case MessageHeartbeat:
		n.handleHeartbeat(message)
	case MessageSnapshot:
		n.handleSnapshot(message)
	case MessageAppendReply:
		n.handleAppendReply(message)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(message)
	case MessageTimeoutNow:
		n.handleTimeoutNow(message)
	}
}

// send queues a message for the next Ready. A message without a term gets the present
// one.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.outbox = append(n.outbox, message)
}
