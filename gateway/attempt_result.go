package gateway

import (
	"github.com/deckpulley/deckpulley/api"
)

// attemptStatus is what is known after an attempt.
type attemptStatus uint8

const (
	// statusDelivered means that the result was delivered, whatever it is.
	statusDelivered attemptStatus = iota + 1
	// statusNotStarted means that the attempt did not run and never will.
	statusNotStarted
	// statusStaleConfiguration is statusNotStarted because the replica has seen a newer
	// configuration.
	statusStaleConfiguration
	// statusReplicaRestarted is statusNotStarted because the replica has another
	// incarnation than the one that was reserved.
	statusReplicaRestarted
	// statusIndeterminate means that the attempt may have run; the caller has received
	// nothing of it.
	statusIndeterminate
)

// attemptResult is the outcome of an attempt on a replica or in a region.
type attemptResult struct {
	status  attemptStatus
	failure *api.Error
	// denied means that this gateway stopped the attempt before its first byte, because
	// of the lease or the configuration.
	denied bool
	// unsent means that no byte was sent to the replica.
	unsent bool
}

// regional returns the result for a whole region, in which the reasons of a single
// replica do not matter.
func (v attemptResult) regional() attemptResult {
	if v.status == statusStaleConfiguration || v.status == statusReplicaRestarted {
		v.status = statusNotStarted
	}
	return v
}

// notStarted returns the result of an attempt that did not run and never will.
func notStarted(failure *api.Error) attemptResult {
	return attemptResult{status: statusNotStarted, failure: failure}
}

// notSent returns the result of an attempt of which no byte was sent.
func notSent(failure *api.Error) attemptResult {
	return attemptResult{status: statusNotStarted, failure: failure, unsent: true}
}

// indeterminate returns the result of an attempt that may have run.
func indeterminate(failure *api.Error) attemptResult {
	return attemptResult{status: statusIndeterminate, failure: failure}
}

// isConnectionFailure reports whether an attempt may have failed because its replica
// stopped.
func isConnectionFailure(outcome attemptResult) bool {
	if outcome.status != statusIndeterminate {
		return false
	}
	return outcome.failure.Code == api.CodeReplicaBroken || outcome.failure.Code == api.CodeReplicaIncomplete
}
