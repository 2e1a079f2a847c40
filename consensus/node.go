package consensus

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// Node is one member's state machine. It is not safe for concurrent use. Invariants:
//   - the term never decreases, and at most one vote is granted per term
//   - the commit index never decreases, and never exceeds the last index of the log
//   - no message is sent before the state in the same Ready has been persisted, so the
//     state that a message refers to is on disk
type Node struct {
	config  Config
	random  *rand.Rand
	defects defect.Set

	role    Role
	term    uint64
	vote    ID
	leader  ID
	commit  uint64
	applied uint64 // the highest index that the driver has acknowledged as applied

	log *replicatedLog
	// configurations are the memberships in the log, ordered by index; the last one is in
	// effect.
	configurations []configuration

	// persistedHardState is the hard state that the last Ready asked to persist.
	persistedHardState HardState
	// pendingSnapshot is a received snapshot that the driver has not acknowledged as
	// applied yet, or nil.
	pendingSnapshot *Snapshot
	outbox          []Message
	// replicatePending makes the next Ready send the other members the entries that they
	// lack. All proposals between two calls of Ready are thus sent in the same appends.
	replicatePending bool

	clockStarted bool
	now          time.Duration
	// awaitingFirstLeader is true at a member that was restored from disk and has not
	// heard from a leader since, see Config.StartupTimeout.
	awaitingFirstLeader bool
	electionDeadline    time.Duration
	lastLeaderContact   time.Duration

	// votes are the replies in the current election or pre-vote, true if granted.
	votes map[ID]bool
	// voteHoldOffEnd is the time until which this member neither starts nor supports
	// another election, see startVoteHoldOff.
	voteHoldOffEnd time.Duration
	// nextVoteRequest is the time at which the request to the voters that have not replied
	// is repeated.
	nextVoteRequest time.Duration
	// electedByTransfer is true if the leader requested the current election.
	electedByTransfer bool

	// leadership is nil unless the member leads.
	leadership *leadership
}

// New returns a Node that is restored from the state in config. Without any state, the
// Node belongs to no group yet and receives its log from a leader. New returns
// ErrInvalidConfig or ErrMembershipInvalid if the restored state is not valid.
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
		return nil, fmt.Errorf("%w: applied index %d exceeds commit index %d", ErrInvalidConfig, node.applied, node.commit)
	}
	node.raiseTermToLog()
	if err := node.restoreConfigurations(); err != nil {
		return nil, err
	}
	node.persistedHardState = node.hardState()
	node.awaitingFirstLeader = node.term > 0
	node.resetElectionDeadline()
	// The log holds them now; references in the Config would prevent their memory from
	// being freed after a compaction.
	node.config.Entries = nil
	node.config.Snapshot = Snapshot{}
	return node, nil
}

// identitySeed returns a seed that differs between members, so that members with the
// same Config.Seed draw different election timeouts.
func identitySeed(id ID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// raiseTermToLog raises the term to that of the last log entry if the log is newer. This
// happens after a crash between the write of a snapshot and that of the hard state. The
// member had reached the term of the log, but cannot have voted in it, since the vote
// would be in the hard state.
func (n *Node) raiseTermToLog() {
	if n.log.lastTerm() > n.term {
		n.term = n.log.lastTerm()
		n.vote = None
	}
}

// Tick advances the clock, and starts elections and heartbeat rounds that are due.
// Call it several times in each Config.HeartbeatInterval, and immediately after the
// process has been paused.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickElection()
}

// advanceClock sets the time to now, unless that is in the past. The first call also sets
// the election deadline, which could not be computed before the time was known.
func (n *Node) advanceClock(now time.Duration) {
	if !n.clockStarted {
		n.clockStarted = true
		n.now = now
		n.resetElectionDeadline()
	}
	n.now = max(n.now, now)
}

// Step processes a message from another member. It returns ErrMisaddressed if the
// message is not for this member, or ErrMalformed if it is not valid; the node is then
// unchanged.
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

// handleNewerTerm adopts the message's term, except for a pre-vote, whose term has not
// begun, and for a vote request that this member must ignore because it has a current
// leader. It reports whether the message is to be handled.
func (n *Node) handleNewerTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true // the candidate has not entered that term yet
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

// rejectOlderTerm replies to a leader or candidate of an older term with this member's
// term, upon which it steps down. Without the reply, a single member with a newer term
// could never rejoin: it rejects the leader's messages, and the others ignore its vote
// requests while they hear from the leader.
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

// handle handles a message of the current term, or a pre-vote message for a later one.
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

// send queues a message for the next Ready. A message without a term gets the current
// one.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.outbox = append(n.outbox, message)
}
