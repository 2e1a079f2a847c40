package gateway

import (
	"github.com/deckpulley/deckpulley/api"
)

// attemptStatus classifies the outcome of an attempt.
type attemptStatus uint8

const (
	// statusDelivered means that a result, an answer or an error, was delivered to the
	// execution.
	statusDelivered attemptStatus = iota + 1
	// statusNotStarted means that the attempt did not run and never will.
	statusNotStarted
	// statusStaleConfiguration means that the replica did not start the request because it
	// has seen a newer configuration than the one in the stamp.
	statusStaleConfiguration
	// statusReplicaRestarted means that the replica did not start the request because its
	// incarnation differs from the one in the stamp.
	statusReplicaRestarted
	// statusIndeterminate means that the attempt may have run, but the caller has received
	// none of its output.
	statusIndeterminate
)

// attemptResult is the outcome of an attempt on a replica, or of all attempts in one
// region.
type attemptResult struct {
	status  attemptStatus
	failure *api.Error
	// denied means that checkBeforeSend stopped the attempt before its first byte: the
	// lease had expired or the placement was outdated.
	denied bool
	// unsent means that no byte was sent to the replica.
	unsent bool
}

// regional returns the result for the whole region: the statuses that concern a single
// replica become statusNotStarted.
func (r attemptResult) regional() attemptResult {
	if r.status == statusStaleConfiguration || r.status == statusReplicaRestarted {
		r.status = statusNotStarted
	}
	return r
}

// notStarted returns a result with statusNotStarted.
func notStarted(failure *api.Error) attemptResult {
	return attemptResult{status: statusNotStarted, failure: failure}
}

// notSent returns a result with statusNotStarted for an attempt of which no byte was
// sent to the replica.
func notSent(failure *api.Error) attemptResult {
	return attemptResult{status: statusNotStarted, failure: failure, unsent: true}
}

// indeterminate returns a result with statusIndeterminate.
func indeterminate(failure *api.Error) attemptResult {
	return attemptResult{status: statusIndeterminate, failure: failure}
}

// isConnectionFailure reports whether the connection to the replica broke during the
// attempt, which may mean that the replica stopped.
func isConnectionFailure(outcome attemptResult) bool {
	if outcome.status != statusIndeterminate {
		return false
	}
	return outcome.failure.Code == api.CodeReplicaBroken || outcome.failure.Code == api.CodeReplicaIncomplete
}
