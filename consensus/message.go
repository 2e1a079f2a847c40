package consensus

import "fmt"

// MessageKind is the kind of a Message. The numbers are sent.
type MessageKind uint8

// The kinds of messages between members.
const (
	// MessagePreVote asks a voter whether it would vote for the sender in the
	// message's term. It changes nothing at the receiver.
	MessagePreVote      MessageKind = 1
	MessagePreVoteReply MessageKind = 2
	// MessageVote is the paper's RequestVote.
	MessageVote      MessageKind = 3
	MessageVoteReply MessageKind = 4
	// MessageAppend is the paper's AppendEntries: a log position to check, with or
	// without entries.
	MessageAppend MessageKind = 5
	// MessageAppendReply answers MessageAppend and MessageSnapshot. It also informs a
	// leader of an older term about the newer term.
	MessageAppendReply MessageKind = 6
	// MessageHeartbeat is sent once to each member in every heartbeat round. Unlike
	// MessageAppend it is not subject to flow control.
	MessageHeartbeat      MessageKind = 7
	MessageHeartbeatReply MessageKind = 8
	// MessageSnapshot is the paper's InstallSnapshot in one message.
	MessageSnapshot MessageKind = 9
	// MessageTimeoutNow is the leader's request that the receiver start an election at
	// once, see Node.TransferLeadership.
	MessageTimeoutNow MessageKind = 10
)

// Message is one message between members. Its CBOR form is sent. Any message may
// be lost, duplicated or reordered.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint"`
	// Term is the sender's term. In MessagePreVote, and in a MessagePreVoteReply that
	// grants it, it is the term in which the candidate would campaign.
	Term uint64 `cbor:"4,keyasint"`
	// Index depends on the kind. MessageAppend: the index before the first entry.
	// MessageAppendReply: the highest index known to match, or the rejected index if
	// Reject is set. MessageVote and MessagePreVote: the candidate's last index.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index; in a rejected MessageAppendReply, of the
	// entry at RejectHint.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"` // the leader's commit index
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// RejectHint is the highest index at which the follower's log may match the
	// leader's. It is set in a rejected MessageAppendReply only.
	RejectHint uint64 `cbor:"10,keyasint,omitempty"`
	// HeartbeatRound is the leader's newest heartbeat round; replies echo it. See
	// Node.QuorumContact.
	HeartbeatRound uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot       *Snapshot `cbor:"12,keyasint,omitempty"` // in MessageSnapshot only
	// LeadershipTransfer marks a MessageVote of an election that the leader itself
	// requested: voters may grant it although they have a current leader.
	LeadershipTransfer bool `cbor:"13,keyasint,omitempty"`
	// KnowsWitnesses is true in a MessageHeartbeatReply of a member that observes the rules of
	// memberships with witnesses; members of earlier releases do not.
	KnowsWitnesses bool `cbor:"14,keyasint,omitempty"`
}

// Size returns the size of the message's entries and snapshot, in bytes.
func (m Message) Size() int {
	size := 0
	for _, entry := range m.Entries {
		size += entry.Size()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// validate returns ErrMalformed for a message that no correct member sends.
func (m Message) validate() error {
	if m.From == None || m.From == m.To {
		return ErrMalformed
	}
	if m.Kind == MessageSnapshot && m.Snapshot == nil {
		return ErrMalformed
	}
	previous := Entry{Index: m.Index, Term: m.LogTerm}
	for _, entry := range m.Entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term || entry.Term > m.Term {
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
