// Package consensus implements Raft (Ongaro and Ousterhout, 2014) as a pure step
// machine, in the manner of etcd's raft. Messages, proposals and the time go in;
// batches of "persist, then send, then apply" come out, see Ready. A Node does no
// I/O, starts no goroutine and reads no clock, so a seeded simulation replays it.
//
// Beyond the paper's core it has pre-vote, check quorum, leadership transfer,
// learners, membership changes of one member at a time, and the quorum contact
// (Node.QuorumContact), on which leases rest.
package consensus

// ID is the random identity of a member's disk. A wiped disk gets a new one, so
// that a member that has lost its vote and log is never taken for the old one.
type ID string

// None is the ID of no member.
const None ID = ""

// EntryKind says what the data of an Entry is. The numbers are stored and sent.
type EntryKind uint8

const (
	// EntryNormal is an entry whose data belongs to the state machine.
	EntryNormal EntryKind = 0
	// EntryMembership is an entry whose data is an encoded Membership.
	EntryMembership EntryKind = 1
	// EntryNoop is the entry without data that a leader appends when it is elected.
	EntryNoop EntryKind = 2
)

// Entry is one entry of the replicated log. Its CBOR form is stored and sent.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the part of a member's state that must be on its disk before any
// message that depends on it is sent. Its CBOR form is stored.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"` // None if no vote was given in Term
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot replaces the log up to and including Index. Its CBOR form is stored
// and sent.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"` // term of the entry at Index
	Membership Membership `cbor:"3,keyasint"` // effective at Index
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}
