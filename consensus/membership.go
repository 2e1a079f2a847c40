package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Member is one member of the group. Its CBOR form is stored and sent.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"` // node name from the settings
	Address string `cbor:"3,keyasint"` // where other members reach it
	Zone    string `cbor:"4,keyasint"`
	// Learner marks a member that receives the log, but neither votes nor counts toward
	// a quorum.
	Learner bool `cbor:"5,keyasint,omitempty"`
}

// Membership is the complete list of the group's members. Its CBOR form is stored and
// sent.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
	// Witnesses decide which of exactly two voters may go on alone, see Node.TakeOver. They
	// are no members: they have no log and no disk.
	Witnesses []Witness `cbor:"2,keyasint,omitempty"`
	// TakenOver is true while a voter that took over is the only voter.
	TakenOver bool `cbor:"3,keyasint,omitempty"`
	// Epoch identifies the voters and witnesses: the index of the first entry with these.
	// It is 0 without witnesses.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
}

// Witness is a process that keeps its votes in memory. A restarted process has another
// incarnation, and is no witness any more.
type Witness struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// EncodeMembership returns the data of an EntryMembership entry.
func EncodeMembership(membership Membership) ([]byte, error) {
	return cbor.Marshal(membership)
}

// DecodeMembership decodes the data of an EntryMembership entry. It returns
// ErrMembershipInvalid if the data cannot be decoded.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	if err := cbor.Unmarshal(data, &membership); err != nil {
		return Membership{}, fmt.Errorf("%w: %w", ErrMembershipInvalid, err)
	}
	return membership, nil
}

func (m Membership) member(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (m Membership) contains(id ID) bool {
	_, found := m.member(id)
	return found
}

func (m Membership) isVoter(id ID) bool {
	member, found := m.member(id)
	return found && !member.Learner
}

// Voters returns the members that are not learners.
func (m Membership) Voters() []Member {
	var voters []Member
	for _, member := range m.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Witnesses: slices.Clone(m.Witnesses), TakenOver: m.TakenOver, Epoch: m.Epoch}
}

// Validate returns ErrMembershipInvalid if an identity is empty or duplicate, or if
// there is no voter.
func (m Membership) Validate() error {
	seen := make(map[ID]bool)
	for _, member := range m.Members {
		if member.ID == None {
			return fmt.Errorf("%w: empty identity", ErrMembershipInvalid)
		}
		if seen[member.ID] {
			return fmt.Errorf("%w: duplicate identity %s", ErrMembershipInvalid, member.ID)
		}
		seen[member.ID] = true
	}
	if len(m.Voters()) == 0 {
		return fmt.Errorf("%w: no voter", ErrMembershipInvalid)
	}
	return nil
}

// countChanges returns how many members were added, removed or changed.
func countChanges(from, to Membership) int {
	count := 0
	for _, member := range to.Members {
		if previous, found := from.member(member.ID); !found || previous != member {
			count++
		}
	}
	for _, member := range from.Members {
		if !to.contains(member.ID) {
			count++
		}
	}
	return count
}
