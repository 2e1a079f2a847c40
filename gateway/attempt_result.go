package gateway

import (
	"github.com/deckpulley/deckpulley/api"
)

// attemptStatus says what is known after an attempt.
type attemptStatus uint8

const (
	// statusDelivered means that the result has been delivered, whatever it is.
	statusDelivered attemptStatus = iota + 1
	// statusNotStarted means that the attempt never ran and never will.
	statusNotStarted
	// statusStaleConfiguration is stoodNotStarted by a replica that has seen a newer configuration.
	statusStaleConfiguration
	// statusReplicaRestarted is stoodNotStarted by a replica of another incarnation than
	// the one placed on.
	statusReplicaRestarted
	// statusIndeterminate means that the attempt may have run; the caller has seen nothing of it.
	statusIndeterminate
)

// attemptResult is the outcome of an attempt, in one place or in a whole region.
type attemptResult struct {
	status  attemptStatus
	failure *api.Error
	// denied means that nothing reached the replica for a reason of our own.
	denied bool
	// unsent means that not one byte left for the replica.
	unsent bool
}

// regional is the verdict on a whole region: why an attempt was not started does
// not matter there.
func (v attemptResult) regional() attemptResult {
	if v.status == statusStaleConfiguration || v.status == statusReplicaRestarted {
		v.status = statusNotStarted
	}
	return v
}

func indeterminate(failure *api.Error) attemptResult {
	return attemptResult{status: statusIndeterminate, failure: failure}
}

// isConnectionFailure tells that an answer may have stopped because its replica did.
func isConnectionFailure(outcome attemptResult) bool {
	if outcome.status != statusIndeterminate {
		return false
	}
	return outcome.failure.Code == api.CodeReplicaBroken || outcome.failure.Code == api.CodeReplicaIncomplete
}
