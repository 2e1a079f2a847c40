// Package membership decides how the membership of the control group changes: which nodes
// join, which failed voters they replace, and which voter takes over leadership. It does no
// I/O: the leader passes in the status of the replicated log and proposes the changes.
package membership

import "github.com/deckpulley/deckpulley/consensus"

// Find returns the member with an identity, and whether there is one.
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

// Successor returns the voter with the highest match index, other than the leader whose
// status is given; consensus.None if there is no other voter.
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
