package simulation

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
)

const (
	joinInterval = 150 * time.Millisecond
	// joinRequestTTL is the time after which a leader ignores a join request.
	joinRequestTTL = time.Second
	// learnerTimeout is the time without contact after which a learner is removed.
	learnerTimeout = 2 * time.Second
	// reachabilityWindow is the time since its last reply within which a member counts as
	// reachable.
	reachabilityWindow = 500 * time.Millisecond
)

// joinRequest is the request of a machine to become a voter.
type joinRequest struct {
	member     consensus.Member
	replaces   string
	receivedAt time.Duration // on the leader's clock
}

// scheduleJoinRequest sends join requests periodically while the machine is not a voter.
func (m *machine) scheduleJoinRequest(incarnation int) {
	m.world.schedule(joinInterval, func() {
		if m.incarnation != incarnation || m.node == nil {
			return
		}
		if !m.frozen && !m.retiring && !m.hasJoined() {
			m.sendJoinRequests()
		}
		m.scheduleJoinRequest(incarnation)
	})
}

// hasJoined reports whether the machine is a voter and has replaced its predecessor. A
// machine without a known leader has not joined: the membership in which it is a voter
// may have been lost with the leader that proposed it.
func (m *machine) hasJoined() bool {
	status := m.node.Status()
	if status.Leader == consensus.None {
		return false
	}
	return m.isVoter() && replacedBy(status.Membership, m.joinRequest()) < 0
}

func (m *machine) isVoter() bool {
	for _, member := range m.node.Status().Membership.Members {
		if member.ID == m.identity {
			return !member.Learner
		}
	}
	return false
}

// hasMember reports whether an identity is a member, according to this machine.
func (m *machine) hasMember(identity consensus.ID) bool {
	for _, member := range m.node.Status().Membership.Members {
		if member.ID == identity {
			return true
		}
	}
	return false
}

// joinRequest returns the request of this machine.
func (m *machine) joinRequest() joinRequest {
	return joinRequest{member: m.asMember(m.identity), replaces: m.replaces}
}

func (m *machine) sendJoinRequests() {
	for _, other := range m.world.machines {
		if other == m {
			continue
		}
		request := m.joinRequest()
		m.world.network.send(m.name, other.name, func() {
			other.receive(func() { other.recordJoinRequest(request) })
		})
	}
}

func (m *machine) recordJoinRequest(request joinRequest) {
	if m.leadership == nil {
		return
	}
	request.receivedAt = m.clock()
	m.joinRequests[request.member.ID] = request
}

// repairMembership takes the next step for the machines that have requested to join: add a
// machine as a learner, wait until it has caught up, promote it, and remove the member that
// it replaces. Only one change of the membership is in progress at a time.
func (m *machine) repairMembership() {
	status := m.node.Status()
	if m.removeUnresponsiveLearner(status) {
		return
	}
	if !m.retiring && !m.hasJoined() {
		m.recordJoinRequest(m.joinRequest())
	}
	for _, id := range m.currentJoinRequests() {
		next, changes := m.nextMembership(status, m.joinRequests[id])
		if !changes {
			continue
		}
		if _, _, err := m.node.ProposeMembership(m.clock(), next); err != nil && !m.world.hasDefect(defect.TwoMembershipChanges) {
			return
		}
		m.world.afterChange()
	}
}

func (m *machine) currentJoinRequests() []consensus.ID {
	ids := make([]consensus.ID, 0, len(m.joinRequests))
	for id, request := range m.joinRequests {
		if m.clock()-request.receivedAt <= joinRequestTTL {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// removeUnresponsiveLearner proposes to remove a learner that no longer responds, or that
// was added again by a late join request. It reports whether it proposed a removal.
func (m *machine) removeUnresponsiveLearner(status consensus.Status) bool {
	for position, member := range status.Membership.Members {
		lastContact := max(m.leadership.elected, status.LastResponses[member.ID], m.joinRequests[member.ID].receivedAt)
		if !member.Learner || m.clock()-lastContact < learnerTimeout {
			continue
		}
		rest := slices.Delete(slices.Clone(status.Membership.Members), position, position+1)
		_, _, err := m.node.ProposeMembership(m.clock(), consensus.Membership{Members: rest})
		return err == nil
	}
	return false
}

// nextMembership returns the next membership towards the one that the request asks for,
// and false if no change is possible yet. A reachable voter is removed only after its
// replacement is a voter. An unreachable voter is removed first, since it would only
// increase the quorum.
func (m *machine) nextMembership(status consensus.Status, request joinRequest) (consensus.Membership, bool) {
	members := slices.Clone(status.Membership.Members)
	own := slices.IndexFunc(members, func(member consensus.Member) bool { return member.ID == request.member.ID })
	replaced := replacedBy(status.Membership, request)
	vacant := len(status.Membership.Voters()) < m.world.faults.voterCount
	switch {
	case own < 0 && (vacant || replaced >= 0):
		learner := request.member
		learner.Learner = true
		return consensus.Membership{Members: append(members, learner)}, true
	case own < 0 || members[own].Learner && !m.caughtUp(status, request.member.ID):
		return consensus.Membership{}, false
	case replaced >= 0 && (!members[own].Learner || !m.isReachable(status, members[replaced].ID)):
		rest := consensus.Membership{Members: slices.Delete(members, replaced, replaced+1)}
		return rest, m.quorumReachable(status, rest)
	case members[own].Learner && (vacant || replaced >= 0):
		members[own].Learner = false
		return consensus.Membership{Members: members}, true
	default:
		return consensus.Membership{}, false
	}
}

// caughtUp reports whether a learner has enough of the committed entries to be promoted.
func (m *machine) caughtUp(status consensus.Status, id consensus.ID) bool {
	match := status.Match[id]
	return match > 0 && match+m.world.settings.promoteLag >= status.Commit
}

// replacedBy returns the position of the member that the request replaces, or -1.
func replacedBy(membership consensus.Membership, request joinRequest) int {
	return slices.IndexFunc(membership.Members, func(member consensus.Member) bool {
		return member.ID != request.member.ID && (member.Name == request.member.Name || member.Name == request.replaces)
	})
}

// isReachable reports whether a member has replied within reachabilityWindow.
func (m *machine) isReachable(status consensus.Status, id consensus.ID) bool {
	lastContact, known := status.LastResponses[id]
	return known && m.clock()-lastContact <= reachabilityWindow
}

// quorumReachable reports whether a majority of a membership's voters is reachable.
// Without a majority the membership could be neither committed nor reverted.
func (m *machine) quorumReachable(status consensus.Status, membership consensus.Membership) bool {
	voters := membership.Voters()
	count := 0
	for _, voter := range voters {
		if m.isReachable(status, voter.ID) {
			count++
		}
	}
	return count > len(voters)/2
}

// leadsCompleteGroup reports whether the machine leads a complete group: one with a
// committed membership with enough voters and no learners, whose members are all reachable
// and have every committed entry.
func (m *machine) leadsCompleteGroup() bool {
	if !m.up() {
		return false
	}
	status := m.node.Status()
	contact, known := m.node.QuorumContact()
	if !known || m.clock()-contact > reachabilityWindow || status.Role != consensus.Leader {
		return false
	}
	if !status.MembershipCommitted || len(status.Membership.Voters()) < m.world.faults.voterCount {
		return false
	}
	for _, member := range status.Membership.Members {
		if member.Learner || !m.isReachable(status, member.ID) || status.Match[member.ID] < status.Commit {
			return false
		}
	}
	return true
}
