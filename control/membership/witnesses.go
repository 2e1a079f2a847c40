package membership

import "github.com/deckpulley/deckpulley/consensus"

const (
	// WitnessedGroup is the number of voters of a complete group that gets witnesses when
	// one of them stays away.
	WitnessedGroup = 3
	// witnessedVoters is the number of voters of a group with witnesses.
	witnessedVoters = 2
)

// appointWitnesses returns the change that lets a group of three bear another loss while a
// voter stays away: the voter is removed, and witnesses are appointed for the other two.
// Later it replaces the witnesses once many of them have ended.
func (r *Repair) appointWitnesses() (Change, bool) {
	if r.Voters != WitnessedGroup || len(r.Witnesses) < minWitnesses || !r.reachableVotersKnowWitnesses() {
		return Change{}, false
	}
	switch r.countVoters() {
	case WitnessedGroup:
		return r.shrink()
	case witnessedVoters:
		if r.witnessesFresh() || !r.Status.MembershipCommitted {
			return Change{}, false
		}
		next := consensus.Membership{Members: r.Status.Membership.Members, Witnesses: r.chooseWitnesses()}
		return Change{Membership: next, Reason: "witnesses appointed"}, true
	default:
		return Change{}, false
	}
}

// reachableVotersKnowWitnesses reports whether the voters that stay are of a release that
// observes the rules of memberships with witnesses.
func (r *Repair) reachableVotersKnowWitnesses() bool {
	for _, voter := range r.Status.Membership.Voters() {
		if r.Reachable(voter.ID) && !r.Status.KnowWitnesses[voter.ID] {
			return false
		}
	}
	return true
}

// shrink returns the change that removes the only unreachable one of three voters.
func (r *Repair) shrink() (Change, bool) {
	var lost consensus.Member
	for _, member := range r.Status.Membership.Members {
		switch {
		case r.Reachable(member.ID):
		case lost.ID != consensus.None:
			return Change{}, false
		default:
			lost = member
		}
	}
	if lost.ID == consensus.None || r.idle(lost.ID) < ShrinkAfter {
		return Change{}, false
	}
	removal, _ := r.remove(lost, "unreachable voter "+lost.Name+" removed, witnesses appointed")
	removal.Membership.Witnesses = r.chooseWitnesses()
	return removal, true
}

// witnessesFresh reports whether at least three quarters of the present witnesses could be
// appointed again.
func (r *Repair) witnessesFresh() bool {
	running := make(map[consensus.Witness]bool, len(r.Witnesses))
	for _, witness := range r.Witnesses {
		running[witness] = true
	}
	present := r.Status.Membership.Witnesses
	count := 0
	for _, witness := range present {
		if running[witness] {
			count++
		}
	}
	return len(present) >= minWitnesses && 4*count >= 3*len(present)
}

// chooseWitnesses returns at most maxWitnesses of the possible witnesses, evenly spread over
// their order.
func (r *Repair) chooseWitnesses() []consensus.Witness {
	count := min(len(r.Witnesses), maxWitnesses)
	chosen := make([]consensus.Witness, 0, count)
	for i := range count {
		chosen = append(chosen, r.Witnesses[i*len(r.Witnesses)/count])
	}
	return chosen
}
