// Package consensus implements Raft (Ongaro and Ousterhout, 2014) as a
// deterministic state machine, in the manner of etcd's raft. Its inputs are
// messages, proposals and the current time; its output is a batch of state to
// persist, messages to send and entries to apply, see Ready. A Node does no I/O,
// starts no goroutine and reads no clock, so a simulation with a fixed seed is
// reproducible. All times are durations on a monotonic clock whose origin is
// arbitrary but fixed for each Node.
//
// Beyond the core of the paper it has pre-vote, check quorum, leadership transfer,
// learners, membership changes of one member at a time, and Node.QuorumContact,
// the time at which a quorum last confirmed the leader. Leases depend on it.
package consensus

// ID is the random identity of a member's disk. A wiped disk gets a new ID, so that
// a member that has lost its vote and log is never mistaken for its predecessor.
type ID string

// None is the ID of no member.
const None ID = ""

// EntryKind determines how the data of an Entry is interpreted. The numbers are
// stored and sent.
type EntryKind uint8

const (
	// EntryNormal is an entry whose data is a command for the state machine.
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

// Size returns the size of the entry in bytes, as counted against limits.
func (e Entry) Size() int { return len(e.Data) + entryOverheadBytes }

// HardState is the part of a member's state that must be on disk before any message
// that depends on it is sent. Its CBOR form is stored.
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
