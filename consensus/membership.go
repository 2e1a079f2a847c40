package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Membership changes. Invariants:
//   - a membership is effective as soon as it is in the log, committed or not
//   - successive memberships differ by one member, so their majorities overlap
//   - at most one of them is not committed, and a leader proposes one only
//     after it has committed an entry of its own term; without the latter, two
//     leaders' uncommitted changes could have majorities that do not overlap

// configuration is a membership with the index from which it holds.
type configuration struct {
	index      uint64
	membership Membership
}

// EncodeMembership returns the data of an EntryMembership.
func EncodeMembership(membership Membership) ([]byte, error) {
	return cbor.Marshal(membership)
}

// DecodeMembership reads the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	if err := cbor.Unmarshal(data, &membership); err != nil {
		return Membership{}, fmt.Errorf("%w: %w", ErrMembershipInvalid, err)
	}
	return membership, nil
}

func (m Membership) find(id ID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (m Membership) has(id ID) bool {
	_, found := m.find(id)
	return found
}

func (m Membership) votes(id ID) bool {
	member, found := m.find(id)
	return found && !member.Learner
}

// Voters returns the members that vote.
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
	return Membership{Members: slices.Clone(m.Members)}
}

// Validate tells whether a group can work with this membership.
func (m Membership) Validate() error {
	seen := make(map[ID]bool)
	for _, member := range m.Members {
		if member.ID == None {
			return fmt.Errorf("%w: empty identity", ErrMembershipInvalid)
		}
		if seen[member.ID] {
			return fmt.Errorf("%w: %s stands twice", ErrMembershipInvalid, member.ID)
		}
		seen[member.ID] = true
	}
	if len(m.Voters()) == 0 {
		return fmt.Errorf("%w: no voter", ErrMembershipInvalid)
	}
	return nil
}

// distance counts the members that differ between two memberships.
func distance(from, to Membership) int {
	count := 0
	for _, member := range to.Members {
		if before, found := from.find(member.ID); !found || before != member {
			count++
		}
	}
	for _, member := range from.Members {
		if !to.has(member.ID) {
			count++
		}
	}
	return count
}

// membership returns the newest one in the log.
func (n *Node) membership() Membership {
	if len(n.configurations) == 0 {
		return Membership{}
	}
	return n.configurations[len(n.configurations)-1].membership
}

// membershipAt returns the one that held at an index of the log.
func (n *Node) membershipAt(index uint64) Membership {
	var found Membership
	for _, held := range n.configurations {
		if held.index <= index {
			found = held.membership
		}
	}
	return found
}

func (n *Node) restoreConfigurations() error {
	snapshot := n.log.snapshot
	n.configurations = []configuration{{index: snapshot.Index, membership: snapshot.Membership}}
	for _, entry := range n.log.entries {
		if entry.Index <= snapshot.Index || entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return err
		}
		n.configurations = append(n.configurations, configuration{entry.Index, membership})
	}
	return nil
}

// noteConfigurations takes over the memberships among new entries. Their
// encoding was checked when the message came in.
func (n *Node) noteConfigurations(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		if membership, err := DecodeMembership(entry.Data); err == nil {
			n.configurations = append(n.configurations, configuration{entry.Index, membership})
		}
	}
}

// forgetConfigurations goes back to the membership before a truncation.
func (n *Node) forgetConfigurations(from uint64) {
	for len(n.configurations) > 1 && n.configurations[len(n.configurations)-1].index >= from {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
}

// compactConfigurations keeps one membership at or before index.
func (n *Node) compactConfigurations(index uint64) {
	for len(n.configurations) > 1 && n.configurations[1].index <= index {
		n.configurations = n.configurations[1:]
	}
}

// ProposeMembership appends a membership that differs from the present one by a
// single member.
func (n *Node) ProposeMembership(now time.Duration, membership Membership) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	if err := membership.Validate(); err != nil {
		return 0, 0, err
	}
	if err := n.checkMembershipStep(membership); err != nil {
		return 0, 0, err
	}
	data, err := EncodeMembership(membership)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendOwn(EntryMembership, data)
	n.configurations = append(n.configurations, configuration{index, membership.clone()})
	n.leadership.follow(n)
	return index, n.term, nil
}

func (n *Node) checkMembershipStep(membership Membership) error {
	if n.defects.Has(defectTwoChanges) {
		return nil
	}
	if !n.settled() {
		return ErrMembershipPending
	}
	if distance(n.membership(), membership) > 1 {
		return ErrMembershipMultipleChanges
	}
	return nil
}

// settled tells whether the newest membership and an entry of the own term are
// committed.
func (n *Node) settled() bool {
	if len(n.configurations) > 0 && n.configurations[len(n.configurations)-1].index > n.commit {
		return false
	}
	term, _ := n.log.term(n.commit)
	return term == n.term
}

// leaveIfRemoved ends the leadership of a leader that the committed membership no
// longer counts among the voters. It tells the others the commit first, and
// calls on the most complete voter to take over.
func (n *Node) leaveIfRemoved() {
	newest := n.configurations[len(n.configurations)-1]
	if newest.index > n.commit || newest.membership.votes(n.config.ID) {
		return
	}
	n.replicateToAll()
	if successor := n.mostComplete(); successor != None {
		n.send(Message{Kind: MessageTimeoutNow, To: successor})
	}
	n.becomeFollower(n.term, None)
}

func (n *Node) mostComplete() ID {
	best := None
	var match uint64
	for _, member := range n.membership().Members {
		other := n.leadership.progress[member.ID]
		if member.Learner || other == nil {
			continue
		}
		if best == None || other.match > match {
			best = member.ID
			match = other.match
		}
	}
	return best
}

// quorumValue returns the highest value that a majority has reached.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	quorum := len(values)/2 + 1
	return values[len(values)-quorum]
}
