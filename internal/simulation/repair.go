package simulation

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
)

const (
	joinInterval = 150 * time.Millisecond
	// joinRequestTTL is how recent a request to join must be.
	joinRequestTTL = time.Second
	// learnerTimeout is how long a silent learner stays a member.
	learnerTimeout = 2 * time.Second
	// reachabilityWindow is how recent an answer must be for a member to count as reachabilityWindow.
	reachabilityWindow = 500 * time.Millisecond
)

// joinRequest is a machine that wants to be a member.
type joinRequest struct {
	member     consensus.Member
	replaces   string
	receivedAt time.Duration // on the local clock
}

// scheduleJoinRequest lets a machine that is not a voter ask for membership.
func (m *machine) scheduleJoinRequest(process int) {
	m.world.schedule(joinInterval, func() {
		if m.incarnation != process || m.node == nil {
			return
		}
		if !m.frozen && !m.retiring && !m.hasJoined() {
			m.sendJoinRequests()
		}
		m.scheduleJoinRequest(process)
	})
}

// hasJoined tells whether the machine has its place in the group. A machine that
// hears no leader asks again: the membership in which it votes may have been
// lost with the leader that proposed it.
func (m *machine) hasJoined() bool {
	status := m.node.Status()
	if status.Leader == consensus.None {
		return false
	}
	request := joinRequest{member: m.asMember(m.identity), replaces: m.replaces}
	return m.isVoter() && replacedBy(status.Membership, request) < 0
}

func (m *machine) isVoter() bool {
	for _, member := range m.node.Status().Membership.Members {
		if member.ID == m.identity {
			return !member.Learner
		}
	}
	return false
}

// hasMember tells whether an identity is a member, as far as this machine knows.
func (m *machine) hasMember(identity consensus.ID) bool {
	for _, member := range m.node.Status().Membership.Members {
		if member.ID == identity {
			return true
		}
	}
	return false
}

func (m *machine) sendJoinRequests() {
	for _, other := range m.world.machines {
		if other == m {
			continue
		}
		request := joinRequest{member: m.asMember(m.identity), replaces: m.replaces}
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

// repair takes the next step for one machine that wants to join: add it as a
// learner, wait until it has caught up, put it into the place of whom it
// replaces.
func (m *machine) repair() {
	status := m.node.Status()
	if m.removeUnresponsiveLearner(status) {
		return
	}
	if !m.retiring && !m.hasJoined() {
		m.recordJoinRequest(joinRequest{member: m.asMember(m.identity), replaces: m.replaces})
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

// removeUnresponsiveLearner takes back the addition of a machine that has gone away, or
// whose late request to join came after its removal.
func (m *machine) removeUnresponsiveLearner(status consensus.Status) bool {
	for position, member := range status.Membership.Members {
		heard := max(m.leadership.elected, status.LastContact[member.ID], m.joinRequests[member.ID].receivedAt)
		if !member.Learner || m.clock()-heard < learnerTimeout {
			continue
		}
		rest := slices.Delete(slices.Clone(status.Membership.Members), position, position+1)
		_, _, err := m.node.ProposeMembership(m.clock(), consensus.Membership{Members: rest})
		return err == nil
	}
	return false
}

// nextMembership returns the next membership on the way to the request. A
// replaced voter that still works leaves only after the newcomer votes; one
// that does not answer leaves first, since it would only raise the majority.
func (m *machine) nextMembership(status consensus.Status, request joinRequest) (consensus.Membership, bool) {
	members := slices.Clone(status.Membership.Members)
	own := slices.IndexFunc(members, func(member consensus.Member) bool { return member.ID == request.member.ID })
	replaced := replacedBy(status.Membership, request)
	room := len(status.Membership.Voters()) < m.world.faults.voterCount
	switch {
	case own < 0 && (room || replaced >= 0):
		learner := request.member
		learner.Learner = true
		return consensus.Membership{Members: append(members, learner)}, true
	case own < 0 || members[own].Learner && !m.caughtUp(status, request.member.ID):
		return consensus.Membership{}, false
	case replaced >= 0 && (!members[own].Learner || !m.isReachable(status, members[replaced].ID)):
		rest := consensus.Membership{Members: slices.Delete(members, replaced, replaced+1)}
		return rest, m.quorumReachable(status, rest)
	case members[own].Learner && (room || replaced >= 0):
		members[own].Learner = false
		return consensus.Membership{Members: members}, true
	default:
		return consensus.Membership{}, false
	}
}

// caughtUp tells whether a learner lacks so little that it may vote.
func (m *machine) caughtUp(status consensus.Status, id consensus.ID) bool {
	match := status.Match[id]
	return match > 0 && match+m.world.settings.promoteLag >= status.Commit
}

// replacedBy returns the position of the member whose place the request takes,
// or -1.
func replacedBy(membership consensus.Membership, request joinRequest) int {
	return slices.IndexFunc(membership.Members, func(member consensus.Member) bool {
		return member.ID != request.member.ID && (member.Name == request.member.Name || member.Name == request.replaces)
	})
}

// isReachable tells whether a member has answered lately.
func (m *machine) isReachable(status consensus.Status, id consensus.ID) bool {
	heard, answered := status.LastContact[id]
	return answered && m.clock()-heard <= reachabilityWindow
}

// quorumReachable tells whether a majority of a membership's voters can be reached. One
// that cannot would never be committed, nor be taken back.
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

// isRepaired is what a leader reports as a whole group: a committed membership
// of enough voters, all reachable and holding everything committed, and no
// learner left.
func (m *machine) isRepaired() bool {
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
