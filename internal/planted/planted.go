// Package planted defines failpoints for mutation testing of the fault-injection
// suite. Each failpoint breaks one guarantee of the system, and the suite must
// detect the violation. Failpoints take effect only in programs built with the tag
// "planted". In every other build Active always returns false, so that the compiler
// removes the guarded code and nothing can enable it at run time.
package planted

// Defect is the name of a failpoint, as set in the environment variable Variable.
type Defect string

// Failpoints, each with the faulty behaviour that it enables.
const (
	// RetryAfterFirstByte retries a request that must run at most once after its
	// first byte reached a replica.
	RetryAfterFirstByte Defect = "retry-after-first-byte"
	// RunAfterRefusal runs a request once more after it was refused.
	RunAfterRefusal Defect = "run-after-refusal"
	// AcceptWrongID forwards a complete answer that carries the id of another request.
	AcceptWrongID Defect = "accept-wrong-id"
	// JoinRuns continues a broken stream with the output of another run.
	JoinRuns Defect = "join-runs"
	// CleanEnd ends a broken stream as if it were complete.
	CleanEnd Defect = "clean-end"
	// KeepOldConfiguration lets a gateway place requests without a lease and ignore
	// the newer configuration version that replicas report.
	KeepOldConfiguration Defect = "keep-old-configuration"
	// StepBack stamps some requests with the configuration version before the active
	// one.
	StepBack Defect = "step-back"
	// AcknowledgeUnwritten acknowledges orders without writing them, once a
	// configuration has been accepted.
	AcknowledgeUnwritten Defect = "acknowledge-unwritten"
	// ForgetEvacuations omits evacuations from the updates that a control node applies
	// while it is not the leader.
	ForgetEvacuations Defect = "forget-evacuations"
	// AcceptOldBase accepts a configuration that is based on an older version than the
	// current one.
	AcceptOldBase Defect = "accept-old-base"
	// RefuseResentOrder refuses a resent order instead of repeating its first answer.
	RefuseResentOrder Defect = "refuse-resent-order"
	// PrimaryStays lets a primary keep leading and answering orders after it has lost
	// contact with the majority.
	PrimaryStays Defect = "primary-stays"
	// IgnoreDrainReport places requests on replicas that report that they are draining.
	IgnoreDrainReport Defect = "ignore-drain-report"
	// IgnoreDrainList places requests on replicas that the platform lists as draining.
	IgnoreDrainList Defect = "ignore-drain-list"
	// IgnoreEvacuation places requests in evacuated zones.
	IgnoreEvacuation Defect = "ignore-evacuation"
	// IgnoreLease lets a gateway place requests without a lease.
	IgnoreLease Defect = "ignore-lease"
	// IgnoreHome lets requests run outside their home regions.
	IgnoreHome Defect = "ignore-home"
	// RampPerGateway lets every gateway warm up a cold replica independently, without
	// a common limit.
	RampPerGateway Defect = "ramp-per-gateway"
	// UnboundedRetries allows every retry, beyond the retry budget.
	UnboundedRetries Defect = "unbounded-retries"
	// SlowTakeover makes a new primary wait far too long for leases granted by earlier
	// primaries.
	SlowTakeover Defect = "slow-takeover"
	// GiveUpLease makes a gateway release its lease permanently after one failed
	// renewal.
	GiveUpLease Defect = "give-up-lease"
	// SwingingLimit periodically sets the concurrency limits of all replicas to zero.
	SwingingLimit Defect = "swinging-limit"
)

// All returns every failpoint.
func All() []Defect {
	return []Defect{
		RetryAfterFirstByte, RunAfterRefusal, AcceptWrongID, JoinRuns, CleanEnd, KeepOldConfiguration, StepBack,
		AcknowledgeUnwritten, ForgetEvacuations, AcceptOldBase, RefuseResentOrder, PrimaryStays, IgnoreDrainReport,
		IgnoreDrainList, IgnoreEvacuation, IgnoreLease, IgnoreHome, RampPerGateway, UnboundedRetries, SlowTakeover,
		GiveUpLease, SwingingLimit,
	}
}
