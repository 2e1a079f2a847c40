// Package planted holds the deliberate defects that prove the fault suite: each
// breaks one promise, and the suite must report it. They exist only in programs
// built with the tag "planted"; in all others Active is the constant false, the
// compiler removes what it guards, and nothing at run time leads to it.
package planted

// Defect names one deliberate defect. The text is what Variable holds.
type Defect string

// Defects, by the promise that each breaks.
const (
	// RetryAfterFirstByte retries a request that must run at most once after its
	// first byte reached a replica.
	RetryAfterFirstByte Defect = "retry-after-first-byte"
	// RunAfterRefusal runs a request once more after it was refused.
	RunAfterRefusal Defect = "run-after-refusal"
	// AcceptWrongID passes on a whole answer that names another request.
	AcceptWrongID Defect = "accept-wrong-id"
	// JoinRuns goes on with another run where a stream broke.
	JoinRuns Defect = "join-runs"
	// CleanEnd closes a broken stream as if it were whole.
	CleanEnd Defect = "clean-end"
	// KeepOldConfiguration lets a gateway place without a lease and without regard
	// to the newer version that replicas report.
	KeepOldConfiguration Defect = "keep-old-configuration"
	// StepBack stamps some requests with the version before the active one.
	StepBack Defect = "step-back"
	// AcknowledgeUnwritten acknowledges an evacuation without writing it.
	AcknowledgeUnwritten Defect = "acknowledge-unwritten"
	// ForgetEvacuations leaves evacuations out when a control node reads its disk.
	ForgetEvacuations Defect = "forget-evacuations"
	// AcceptOldBase accepts a configuration that was built on an older version.
	AcceptOldBase Defect = "accept-old-base"
	// RefuseResentOrder answers a resent order with a refusal.
	RefuseResentOrder Defect = "refuse-resent-order"
	// PrimaryStays lets a primary answer orders without its majority.
	PrimaryStays Defect = "primary-stays"
	// IgnoreDrainReport places on replicas that report that they drain.
	IgnoreDrainReport Defect = "ignore-drain-report"
	// IgnoreDrainList places on replicas that the platform lists as draining.
	IgnoreDrainList Defect = "ignore-drain-list"
	// IgnoreEvacuation places in evacuated zones.
	IgnoreEvacuation Defect = "ignore-evacuation"
	// IgnoreLease lets a gateway place without a lease.
	IgnoreLease Defect = "ignore-lease"
	// IgnoreHome runs requests outside their homes when these have no room.
	IgnoreHome Defect = "ignore-home"
	// RampPerGateway lets every gateway ramp a cold replica for itself.
	RampPerGateway Defect = "ramp-per-gateway"
	// UnboundedRetries allows every retry.
	UnboundedRetries Defect = "unbounded-retries"
	// SlowTakeover makes a new primary wait far too long for older leases.
	SlowTakeover Defect = "slow-takeover"
	// GiveUpLease makes a gateway leave for good after one failed renewal.
	GiveUpLease Defect = "give-up-lease"
	// SwingingLimit opens and closes the replicas' limits by turns.
	SwingingLimit Defect = "swinging-limit"
)

// All lists every defect.
func All() []Defect {
	return []Defect{
		RetryAfterFirstByte, RunAfterRefusal, AcceptWrongID, JoinRuns, CleanEnd, KeepOldConfiguration, StepBack,
		AcknowledgeUnwritten, ForgetEvacuations, AcceptOldBase, RefuseResentOrder, PrimaryStays, IgnoreDrainReport,
		IgnoreDrainList, IgnoreEvacuation, IgnoreLease, IgnoreHome, RampPerGateway, UnboundedRetries, SlowTakeover,
		GiveUpLease, SwingingLimit,
	}
}
