// Package defect defines mutations of the protocols for mutation testing of package
// simulation: the simulation applies one to the code under test, and its checks must
// detect the effect. No configuration of a deployment enables a mutation; only the
// simulation and tests make a Set that is not empty.
package defect

// Defect identifies one mutation.
type Defect uint8

// Mutations, each with the faulty behaviour that it enables.
const (
	// CommitOlderTerm commits an entry of an older term as soon as a majority stores it,
	// which the Raft paper forbids (section 5.4.2).
	CommitOlderTerm Defect = iota
	// TwoMembershipChanges lets a leader change several members at once, even while
	// another membership change is pending.
	TwoMembershipChanges
	// VoteIgnoresLog grants a vote to a candidate whose log is less up to date than the
	// voter's.
	VoteIgnoresLog
	// ForgetVote does not persist the vote, so that a restart loses it.
	ForgetVote
	// SendBeforeSync sends the messages of a batch before the batch is written to disk.
	SendBeforeSync
	// MissingSync loses the newest writes at a crash, as if they had not been synced.
	MissingSync
	// SnapshotDropsOrders omits the answers to orders from snapshots.
	SnapshotDropsOrders
	// ReuseSerial gives two changes the same serial.
	ReuseSerial
	// LeaseNotWaitedOut lets a new primary act before the leases granted by earlier
	// primaries have expired.
	LeaseNotWaitedOut
	// KeepIdentity lets a wiped disk keep its identity, so that an empty log counts as
	// the one that was lost.
	KeepIdentity
	// ContactFromArrival dates the contact with a quorum from the arrival of the replies
	// instead of the time at which their heartbeat round was sent.
	ContactFromArrival
	// AcknowledgeProposal answers an order when it is proposed, before it is committed.
	AcknowledgeProposal
	// GrantWithoutQuorumContact grants leases without a recent quorum contact, which
	// proves that the primary still leads.
	GrantWithoutQuorumContact
	// LeaseFromArrival starts a lease when its grant arrives at the holder instead of
	// when the holder sent the request.
	LeaseFromArrival
	// ChangeOldContent applies changes to the value at the time when the primary began to
	// grant leases instead of the current value.
	ChangeOldContent

	count
)

// Mutations of takeovers, which the model in package control/membership detects.
const (
	// TakeOverUncommitted lets a voter take over although it does not know that its newest
	// membership is committed.
	TakeOverUncommitted = count + 1 + iota
	// LeaveWitnessesAlone commits a membership that follows one with witnesses without both
	// of its voters.
	LeaveWitnessesAlone
)

// Set is a set of mutations. The zero value is empty.
type Set struct {
	mask uint32
}

// Of returns the set of the given mutations.
func Of(defects ...Defect) Set {
	var set Set
	for _, defect := range defects {
		set.mask |= 1 << defect
	}
	return set
}

// Has reports whether the set contains the mutation.
func (s Set) Has(defect Defect) bool {
	return s.mask&(1<<defect) != 0
}

// All returns every mutation.
func All() []Defect {
	all := make([]Defect, count)
	for position := range all {
		all[position] = Defect(position)
	}
	return all
}

// String returns the name of the mutation in the report of deckpulley-simulate.
func (d Defect) String() string {
	return [...]string{
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
		ChangeOldContent:    "change of content from before the lease",
		TakeOverUncommitted: "takeover in an uncommitted membership",
		LeaveWitnessesAlone: "epoch left without both voters",
	}[d]
}
