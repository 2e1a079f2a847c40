// Package membership decides how the membership of the control group changes:
// which nodes join, which failed voters they replace, and who takes over
// leadership. It does no I/O; a leader feeds it the state of the replicated log.
package membership

import "github.com/deckpulley/deckpulley/consensus"

// Find returns the member with an identity.
func Find(membership consensus.Membership, id consensus.ID) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// Addresses returns the members' peer addresses, in the order of the membership.
func Addresses(membership consensus.Membership) []string {
	addresses := make([]string, 0, len(membership.Members))
	for _, member := range membership.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// Successor returns the voter, other than the leader whose status it is, with
// the longest replicated log; consensus.None if there is no other voter.
func Successor(status consensus.Status) consensus.ID {
	best, bestMatch := consensus.None, uint64(0)
	for _, member := range status.Membership.Members {
		if member.Learner || member.ID == status.ID {
			continue
		}
		if match := status.Match[member.ID]; best == consensus.None || match > bestMatch {
			best, bestMatch = member.ID, match
		}
	}
	return best
}
