package agent

import (
	"errors"

	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
)

// RenewalFailure is the reason why a renewal was not granted. It is a label value of a
// metric and the value of a log key.
type RenewalFailure string

// Reasons why a renewal was not granted.
const (
	// FailureNoAnswer means that the node did not answer in time, or not at all.
	FailureNoAnswer RenewalFailure = "no_answer"
	// FailureOtherCluster means that the node belongs to another cluster.
	FailureOtherCluster RenewalFailure = "other_cluster"
	// FailureRedirected means that the node named another one as the primary.
	FailureRedirected RenewalFailure = "redirected"
	// FailureNoPrimary means that the node knows no primary, or that it is one which no
	// quorum has confirmed lately.
	FailureNoPrimary RenewalFailure = "no_primary"
	// FailureRefused means that the node named itself as the primary and refused: the
	// gateway knows a newer term or serial than it.
	FailureRefused RenewalFailure = "refused"
	// FailureStaleTerm means that the grant was of an older term than the newest observed
	// one.
	FailureStaleTerm RenewalFailure = "stale_term"
	// FailureInvalidTransfer means that the transfer in the grant could not be applied.
	FailureInvalidTransfer RenewalFailure = "invalid_transfer"
)

// RenewalFailures lists all reasons.
func RenewalFailures() []RenewalFailure {
	return []RenewalFailure{
		FailureNoAnswer, FailureOtherCluster, FailureRedirected, FailureNoPrimary,
		FailureRefused, FailureStaleTerm, FailureInvalidTransfer,
	}
}

// recordFailure counts a renewal that was not granted and keeps its reason for the log.
// The caller holds the mutex.
func (a *Agent) recordFailure(address string, reason RenewalFailure) {
	a.renewalFailures.add(reason)
	a.lastFailure = reason
	a.lastFailureAddress = address
}

// callFailure returns the reason for a renewal that ended with an error.
func callFailure(err error) RenewalFailure {
	if errors.Is(err, errOtherCluster) {
		return FailureOtherCluster
	}
	return FailureNoAnswer
}

// refusalReason returns the reason for an answer from an address that does not grant the
// renewal.
func refusalReason(grant *peer.Grant, address string) RenewalFailure {
	switch grant.Primary {
	case "":
		return FailureNoPrimary
	case address:
		return FailureRefused
	default:
		return FailureRedirected
	}
}

// grantFailure returns the reason why a grant was ignored.
func grantFailure(err error) RenewalFailure {
	if errors.Is(err, lease.ErrOtherCluster) {
		return FailureOtherCluster
	}
	return FailureStaleTerm
}
