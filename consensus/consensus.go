// Package consensus is a replicated log after Raft (Ongaro and Ousterhout,
// 2014) as a pure step machine. Messages, proposals and the time go in; batches
// of "persist, then send, then apply" come out. It does no I/O, starts no
// goroutine and reads no clock.
package consensus

import "time"

// ID is the random identity of a member's disk. A wiped disk has a new one.
type ID string

// None is the absent member.
const None ID = ""

// EntryKind says what an entry carries.
type EntryKind uint8

const (
	EntryNormal     EntryKind = 0 // Data belongs to the state machine
	EntryMembership EntryKind = 1 // Data is an encoded Membership
	EntryNoop       EntryKind = 2 // first entry of a term
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Member is one member of the group.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"` // node name of the settings
	Address string `cbor:"3,keyasint"` // peers' address
	Zone    string `cbor:"4,keyasint"`
	Learner bool   `cbor:"5,keyasint,omitempty"` // receives the log, does not vote
}

// Membership is a whole configuration of the group. Successive ones differ by
// one member at the most.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}

// MessageKind is the kind of a Message.
type MessageKind uint8

const (
	MessagePreVote        MessageKind = 1
	MessagePreVoteReply   MessageKind = 2
	MessageVote           MessageKind = 3
	MessageVoteReply      MessageKind = 4
	MessageAppend         MessageKind = 5
	MessageAppendReply    MessageKind = 6
	MessageHeartbeat      MessageKind = 7
	MessageHeartbeatReply MessageKind = 8
	MessageSnapshot       MessageKind = 9
	MessageTimeoutNow     MessageKind = 10
)

// Message passes between members.
type Message struct {
	Kind           MessageKind `cbor:"1,keyasint"`
	From           ID          `cbor:"2,keyasint"`
	To             ID          `cbor:"3,keyasint"`
	Term           uint64      `cbor:"4,keyasint"`
	Index          uint64      `cbor:"5,keyasint,omitempty"` // previous index, last index or match
	LogTerm        uint64      `cbor:"6,keyasint,omitempty"`
	Commit         uint64      `cbor:"7,keyasint,omitempty"`
	Entries        []Entry     `cbor:"8,keyasint,omitempty"`
	Reject         bool        `cbor:"9,keyasint,omitempty"`
	RejectHint     uint64      `cbor:"10,keyasint,omitempty"` // where to try next after a rejection
	HeartbeatRound uint64      `cbor:"11,keyasint,omitempty"` // echoes the heartbeat round, see Node.QuorumContact
	Snapshot       *Snapshot   `cbor:"12,keyasint,omitempty"`
	// LeadershipTransfer marks a vote asked for by the leader itself: stickiness is waived.
	LeadershipTransfer bool `cbor:"13,keyasint,omitempty"`
}

// Role is a member's present part.
type Role uint8

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Ready is one batch of work. The driver persists HardState, Snapshot and
// Entries with a sync, then sends Messages, then applies Snapshot and
// Committed, then calls Advance. Nothing may be reordered across these steps.
// storage.Persist does the first. A HardState or Snapshot of nil is unchanged.
type Ready struct {
	HardState        *HardState
	Snapshot         *Snapshot
	Entries          []Entry
	Messages         []Message
	CommittedEntries []Entry
}

// Status is a view for people and for the driver.
type Status struct {
	ID         ID
	Role       Role
	Term       uint64
	Leader     ID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership Membership
	// MembershipCommitted is true at a leader that has committed an entry of its own term and
	// its newest membership. Only then do Commit and Membership tell what a
	// successor would find: a repair is not done before.
	MembershipCommitted bool
	// Match and Contact are kept by a leader: the highest index known stored, and
	// the time of the last answer, by member.
	Match       map[ID]uint64
	LastContact map[ID]time.Duration
}

// Config sets up a Node. Times are monotonic and counted from any fixed start.
type Config struct {
	ID ID
	// ElectionTimeout is the least time without a leader before an election;
	// the actual one is drawn from [ElectionTimeout, 2*ElectionTimeout).
	// Default 600 ms.
	ElectionTimeout time.Duration
	// StartupTimeout, if set, replaces ElectionTimeout at a member that starts with
	// what its disk holds, until it knows a leader: where one is present, the
	// others refuse the pre-vote, and where none is, waiting helps nobody. The
	// actual time is drawn from [StartupTimeout, 4*StartupTimeout).
	StartupTimeout time.Duration
	// HeartbeatInterval is the leader's. Default 100 ms.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one message. Default 256 KiB.
	MaxAppendBytes int
	// MaxInflight bounds the appends not yet answered per member. Default 64.
	MaxInflight int
	// Seed drives the random election timeouts.
	Seed uint64
	// Restored state, as read from the disk; all zero on a first start.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the index that the state machine already holds (the snapshot's).
	Applied uint64
}
