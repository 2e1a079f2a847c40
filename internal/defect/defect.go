// Package defect names the deliberate faults that the simulation plants in
// order to prove that its checks see them. A set is empty unless the simulation
// makes it: nothing that a deployment configures leads here.
package defect

// Defect is one deliberate fault.
type Defect uint8

const (
	// CommitOlderTerm counts copies of an entry of an older term as a commit.
	CommitOlderTerm Defect = iota
	// TwoMembershipChanges lets a leader change several members at once, also
	// while another change is pending.
	TwoMembershipChanges
	// VoteIgnoresLog grants a vote to a log that is less complete.
	VoteIgnoresLog
	// ForgetVote loses the vote at a restart.
	ForgetVote
	// SendBeforeSync sends messages before the batch is written.
	SendBeforeSync
	// MissingSync loses the newest writes at a crash.
	MissingSync
	// SnapshotDropsOrders leaves the answers to orders out of a snapshot.
	SnapshotDropsOrders
	// ReuseSerial gives two changes the same serial.
	ReuseSerial
	// LeaseNotWaitedOut lets a new primary act before older leases have run out.
	LeaseNotWaitedOut
	// KeepIdentity gives a wiped disk its old identity back.
	KeepIdentity
	// ContactFromArrival takes the arrival of an answer for the send time of its round.
	ContactFromArrival
	// AcknowledgeProposal answers an order when it is proposed, not when it is committed.
	AcknowledgeProposal
	// GrantWithoutQuorumContact grants leases without a proof of leadership.
	GrantWithoutQuorumContact
	// LeaseFromArrival counts a lease from the grant's arrival at the holder.
	LeaseFromArrival
	// ChangeOldContent makes changes to the value that was current at the election.
	ChangeOldContent

	count
)

// Set is a set of deliberate faults. The zero value is empty.
type Set struct {
	mask uint32
}

// Of returns the set of the given faults.
func Of(defects ...Defect) Set {
	var set Set
	for _, planted := range defects {
		set.mask |= 1 << planted
	}
	return set
}

// Has tells whether the set holds the fault.
func (s Set) Has(planted Defect) bool {
	return s.mask&(1<<planted) != 0
}

// All returns every fault there is.
func All() []Defect {
	all := make([]Defect, count)
	for position := range all {
		all[position] = Defect(position)
	}
	return all
}

// String returns the name that the simulation's table shows.
func (d Defect) String() string {
	return [count]string{
		"commit of an older term by counting",
		"two membership changes at once",
		"vote for a less complete log",
		"voter forgets its vote",
		"reply before the sync",
		"missing sync",
		"snapshot drops the orders' answers",
		"serial used twice",
		"older leases not waited out",
		"wiped disk keeps its identity",
		"contact counted from the arrival",
		"order acknowledged before the commit",
		"lease granted without proof of leadership",
		"lease counted from the grant's arrival",
	}[d]
}
