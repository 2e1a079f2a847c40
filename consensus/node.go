package consensus

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
)

const (
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultMaxAppendBytes    = 256 << 10
	defaultMaxInflight       = 64

	// entryOverhead is the size of an entry without its data, in bytes, as
	// counted against MaxAppendBytes.
	entryOverhead = 24
	// unlimited takes a whole batch, which is written at once.
	unlimited = math.MaxInt
	// snapshotResendTimeouts is the number of election timeouts between two
	// snapshots to the same member.
	snapshotResendTimeouts = 4
	// roundMemoryTimeouts is the number of election timeouts for which the send
	// time of a round is remembered. Older answers prove nothing of use.
	roundMemoryTimeouts = 8
)

// Node is one member's state machine. It is used from one goroutine. Invariants:
//   - the term never falls; in one term at most one vote is given
//   - commit never falls, and never exceeds the log
//   - no message leaves before the Ready that carries it has been persisted, so
//     every promise made in a message is on the disk
type Node struct {
	config  Config
	random  *rand.Rand
	defects defect.Set

	role   Role
	term   uint64
	vote   ID
	leader ID
	commit uint64
	// applied is what the state machine holds.
	applied uint64

	log            *replicatedLog
	configurations []configuration

	// persisted is the hard state of the last Ready.
	persisted       HardState
	pendingSnapshot *Snapshot
	outbox          []Message
	// flush asks the next Ready to send what members have not got yet.
	flush bool

	started          bool // the clock has been told once
	starting         bool // restored from a disk, and no leader heard of since
	now              time.Duration
	electionDeadline time.Duration
	heardLeader      time.Duration
	backedUntil      time.Duration // until when the member that got the vote is backed
	ballots          map[ID]bool
	askAgain         time.Duration // when voters without a ballot are asked again
	transferred      bool          // the leader itself asked for the election

	leadership *leadership
}

// New restores a member from its disk, or makes a new one that belongs to no
// group and waits to be told its log.
func New(config Config) (*Node, error) {
	if config.ID == None {
		return nil, fmt.Errorf("%w: no identity", ErrInvalidConfig)
	}
	setDefaults(&config)
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
		commit:  min(max(config.HardState.Commit, config.Snapshot.Index), log.last()),
		applied: max(config.Applied, config.Snapshot.Index),
	}
	if node.applied > node.commit {
		return nil, fmt.Errorf("%w: applied %d is beyond the commit %d", ErrInvalidConfig, node.applied, node.commit)
	}
	node.raiseToLog()
	if err := node.restoreConfigurations(); err != nil {
		return nil, err
	}
	node.persisted = node.hardState()
	node.starting = node.term > 0
	node.resetElectionDeadline()
	node.config.Entries = nil
	node.config.Snapshot = Snapshot{}
	return node, nil
}

func setDefaults(config *Config) {
	if config.ElectionTimeout <= 0 {
		config.ElectionTimeout = defaultElectionTimeout
	}
	if config.HeartbeatInterval <= 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	if config.MaxAppendBytes <= 0 {
		config.MaxAppendBytes = defaultMaxAppendBytes
	}
	if config.MaxInflight <= 0 {
		config.MaxInflight = defaultMaxInflight
	}
}

func identitySeed(id ID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// raiseToLog covers a crash between the writing of a snapshot and that of the
// hard state: the member has seen the log's term, and cannot have voted in it.
func (n *Node) raiseToLog() {
	if n.log.lastTerm() > n.term {
		n.term = n.log.lastTerm()
		n.vote = None
	}
}

// InjectDefects switches deliberate faults on, for the simulation that proves that its
// checks see them. A non-empty set cannot be made outside this module.
func (n *Node) InjectDefects(defects defect.Set) {
	n.defects = defects
}

// Tick tells the time. It is to be called several times in each heartbeat
// interval, and at once after a pause of the process.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickElection()
}

func (n *Node) advanceClock(now time.Duration) {
	if !n.started {
		n.started = true
		n.now = now
		n.resetElectionDeadline()
	}
	n.now = max(n.now, now)
}

// Step takes a message in. An error means that the message was not for this
// member or malformed; the node is unchanged then.
func (n *Node) Step(now time.Duration, message Message) error {
	if message.To != n.config.ID {
		return ErrMisaddressed
	}
	if err := validate(message); err != nil {
		return err
	}
	n.advanceClock(now)
	if !n.settleTerm(message) {
		return nil
	}
	n.dispatch(message)
	return nil
}

func validate(message Message) error {
	if message.From == None || message.From == message.To {
		return ErrMalformed
	}
	if message.Kind == MessageSnapshot && message.Snapshot == nil {
		return ErrMalformed
	}
	previous := Entry{Index: message.Index, Term: message.LogTerm}
	for _, entry := range message.Entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term || entry.Term > message.Term {
			return ErrMalformed
		}
		if entry.Kind == EntryMembership {
			if _, err := DecodeMembership(entry.Data); err != nil {
				return fmt.Errorf("%w: %w", ErrMalformed, err)
			}
		}
		previous = entry
	}
	return nil
}

// settleTerm compares terms and tells whether the message is to be handled.
func (n *Node) settleTerm(message Message) bool {
	switch {
	case message.Term > n.term:
		return n.meetNewerTerm(message)
	case message.Term < n.term:
		n.answerOlderTerm(message)
		return false
	default:
		return true
	}
}

func (n *Node) meetNewerTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true // asks, and moves nobody to the term
	case MessagePreVoteReply:
		if !message.Reject {
			return true // carries the term that was asked about
		}
	case MessageVote:
		if n.hearsLeader() && !message.LeadershipTransfer {
			return false
		}
	}
	n.becomeFollower(message.Term, None)
	return true
}

// answerOlderTerm tells a deposed leader or a late candidate the newer term.
// Without it a member that has reached a higher term could never rejoin, since
// the others ignore its votes while they hear the old leader.
func (n *Node) answerOlderTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: message.From, Index: message.Index, Reject: true})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
	}
}

func (n *Node) dispatch(message Message) {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessageVote:
		n.handleVote(message)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleBallot(message)
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

// send queues a message of the present term.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.outbox = append(n.outbox, message)
}

// Status reports the member's present state. The maps and slices are copies.
func (n *Node) Status() Status {
	status := Status{
		ID:         n.config.ID,
		Role:       n.role,
		Term:       n.term,
		Leader:     n.leader,
		Commit:     n.commit,
		Applied:    n.applied,
		LastIndex:  n.log.last(),
		Membership: n.membership().clone(),
	}
	if n.role == Leader {
		status.Match, status.LastContact = n.leadership.report(n)
		status.MembershipCommitted = n.settled()
	}
	return status
}

// Leadership returns the present term, and whether the node leads in it. It is
// cheaper than Status.
func (n *Node) Leadership() (term uint64, leading bool) {
	return n.term, n.role == Leader
}
