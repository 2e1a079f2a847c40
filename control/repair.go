package control

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// maintenanceInterval is the time between two looks of a primary at members,
	// gateways and its own records.
	maintenanceInterval = 100 * time.Millisecond
	// reachableWithin is how recent a member's last answer must be.
	reachableWithin = time.Second
	// catchUpDistance is the number of entries that a learner may lack to be let vote.
	catchUpDistance = 64
	// learnerPatience is how long a learner may be silent before it is removed.
	learnerPatience = 10 * time.Second
	// joinPatience is how long a request to join counts without being repeated.
	joinPatience = time.Second
)

// joinRequest is a node that asks to become a voter.
type joinRequest struct {
	member consensus.Member
	asked  time.Duration
}

// join notes the request of a node. It is accepted if the node is a member
// already or there is a place for it.
func (m *machine) join(now time.Duration, member consensus.Member) peer.JoinReply {
	reply := peer.JoinReply{Cluster: m.cluster}
	if m.group == nil {
		return reply
	}
	status := m.group.Status()
	reply.Members = status.Membership.Members
	reply.Primary = m.addressOf(status.Membership, status.Leader)
	leadership, serving := m.serving()
	if !serving {
		return reply
	}
	member.Learner = false
	request := joinRequest{member: member, asked: now}
	leadership.noteJoin(request)
	_, known := findMember(status.Membership, member.ID)
	repair := m.repairOf(now, status)
	reply.Accepted = known || repair.hasPlaceFor(request)
	return reply
}

// noteJoin keeps the newest request from an address: an older one came from a
// disk that is no longer there.
func (l *leadership) noteJoin(request joinRequest) {
	for id, other := range l.joins {
		if other.member.Address == request.member.Address {
			delete(l.joins, id)
		}
	}
	l.joins[request.member.ID] = request
}

// maintain is what a primary does at intervals. While a node asks to join, the
// repair goes on without waiting for them: until it is done, one more loss can
// cost the majority.
func (m *machine) maintain(now time.Duration) {
	leadership, serving := m.serving()
	if !serving {
		return
	}
	if now < leadership.nextMaintenance {
		if len(leadership.joins) > 0 {
			m.repairGroup(now)
		}
		return
	}
	leadership.nextMaintenance = now + maintenanceInterval
	m.recordHead(now)
	m.recordMembers(now)
	m.forgetLapsedLeases(now)
	m.markLapsedGateways(now)
	m.repairGroup(now)
}

// recordHead puts this node into the head record as the primary.
func (m *machine) recordHead(now time.Duration) {
	head := m.table.SOA()
	if m.leadership.headPending || head.Primary == m.options.Name {
		return
	}
	head.Primary = m.options.Name
	head.Serial = registry.NextSerial(head.Serial)
	m.leadership.headPending = true
	leadership := m.leadership
	update := m.ownUpdate(nil, []registry.Record{registry.Add(registry.SOARecord(catalog.Apex, head))})
	m.propose(now, update, func(registry.Result, error) { leadership.headPending = false })
}

// recordMembers brings the member (NS) records in line with the voters.
func (m *machine) recordMembers(now time.Duration) {
	if m.leadership.membersPending {
		return
	}
	wanted := make(map[string]bool)
	for _, member := range m.group.Status().Membership.Members {
		if !member.Learner {
			wanted[member.Name] = true
		}
	}
	var changes []registry.Record
	for _, record := range m.table.View().Lookup(catalog.Apex, registry.TypeNS) {
		name := string(record.Data)
		if !wanted[name] {
			changes = append(changes, registry.DeleteRecord(record))
		}
		delete(wanted, name)
	}
	var added []registry.Record
	for name := range wanted {
		added = append(added, registry.Add(registry.NSRecord(catalog.Apex, name)))
	}
	if len(changes)+len(added) == 0 {
		return
	}
	m.leadership.membersPending = true
	leadership := m.leadership
	update := m.ownUpdate(nil, append(added, changes...)) // added first: the last member record stays
	m.propose(now, update, func(registry.Result, error) { leadership.membersPending = false })
}

// repairGroup takes the next step toward a whole group, one change at a time.
func (m *machine) repairGroup(now time.Duration) {
	leadership := m.leadership
	for id, request := range leadership.joins {
		if now-request.asked > joinPatience {
			delete(leadership.joins, id)
		}
	}
	status := m.group.Status()
	leadership.notice(now, status.Membership)
	self := consensus.Member{ID: m.identity, Name: m.options.Name, Address: m.options.PeerAddress, Zone: m.options.Zone}
	if known, found := findMember(status.Membership, m.identity); found && known != self {
		leadership.joins[m.identity] = joinRequest{member: self, asked: now}
	}
	repair := m.repairOf(now, status)
	next, reason := repair.next()
	if reason == "" {
		return
	}
	index, _, err := m.group.ProposeMembership(now, next)
	switch {
	case errors.Is(err, consensus.ErrMembershipPending):
	case err != nil:
		m.log.Warn("membership change refused", "change", reason, "term", status.Term, "error", err)
	default:
		m.log.Info("membership change proposed", "change", reason, "index", index, "term", status.Term)
	}
}

// notice remembers since when each member is known.
func (l *leadership) notice(now time.Duration, membership consensus.Membership) {
	for id := range l.noticed {
		if _, found := findMember(membership, id); !found {
			delete(l.noticed, id)
		}
	}
	for _, member := range membership.Members {
		if _, known := l.noticed[member.ID]; !known {
			l.noticed[member.ID] = now
		}
	}
}

func (m *machine) repairOf(now time.Duration, status consensus.Status) repair {
	joins := make([]joinRequest, 0, len(m.leadership.joins))
	for _, request := range m.leadership.joins {
		joins = append(joins, request)
	}
	slices.SortFunc(joins, func(a, b joinRequest) int { return strings.Compare(string(a.member.ID), string(b.member.ID)) })
	return repair{
		now:          now,
		elected:      m.leadership.elected,
		status:       status,
		joins:        joins,
		noticed:      m.leadership.noticed,
		voters:       m.voters,
		replaceAfter: m.options.ReplaceAfter,
	}
}

// repair decides the next membership. It is a pure reading of its fields.
type repair struct {
	now     time.Duration
	elected time.Duration
	status  consensus.Status // of the leader
	joins   []joinRequest
	// noticed is when this leader first saw each member in the membership.
	noticed map[consensus.ID]time.Duration
	// voters is the number of voters of a whole group.
	voters       int
	replaceAfter time.Duration
}

// silence is how long a member has not answered this leader, counted from the
// election, or from the member's adding, if it never did.
func (r *repair) silence(id consensus.ID) time.Duration {
	if id == r.status.ID {
		return 0
	}
	return r.now - max(r.status.LastContact[id], r.noticed[id], r.elected)
}

// answeredLately is true only on evidence: an answer in this term.
func (r *repair) answeredLately(id consensus.ID) bool {
	if id == r.status.ID {
		return true
	}
	contact, heard := r.status.LastContact[id]
	return heard && r.now-contact <= reachableWithin
}

// done is true if the group is whole: enough voters, each reachable and holding
// everything committed, no learner left, and no change of the membership still
// on its way. A newcomer that votes only by an uncommitted entry may lose its
// vote with one disk more.
func (r *repair) done() bool {
	if !r.status.MembershipCommitted {
		return false
	}
	voters := 0
	for _, member := range r.status.Membership.Members {
		if member.Learner || !r.answeredLately(member.ID) {
			return false
		}
		if r.status.Match[member.ID] < r.status.Commit {
			return false
		}
		voters++
	}
	return voters >= r.voters
}

// next returns the next membership and what it changes, or an empty reason.
func (r *repair) next() (consensus.Membership, string) {
	for _, member := range r.status.Membership.Members {
		if member.Learner {
			return r.advance(member)
		}
	}
	for _, request := range r.joins {
		if known, found := findMember(r.status.Membership, request.member.ID); found {
			if known != request.member {
				return r.move(known, request.member), "member " + known.Name + " described anew"
			}
			continue
		}
		if r.hasPlaceFor(request) {
			learner := request.member
			learner.Learner = true
			return r.with(learner), "learner " + learner.Name + " added"
		}
	}
	return consensus.Membership{}, ""
}

// advance takes the one learner a step on: gone, or not needed any more, it is
// removed; caught up, the voter that it replaces is removed, and then it may vote.
func (r *repair) advance(learner consensus.Member) (consensus.Membership, string) {
	if r.superseded(learner) || r.silence(learner.ID) > learnerPatience {
		return r.without(learner.ID), "learner " + learner.Name + " is gone"
	}
	caughtUp := r.answeredLately(learner.ID) && r.status.Match[learner.ID]+catchUpDistance >= r.status.Commit && r.status.Match[learner.ID] > 0
	if !caughtUp {
		return consensus.Membership{}, ""
	}
	if replaced, found := r.replacedVoter(r.requestOf(learner)); found {
		return r.without(replaced.ID), "voter " + replaced.Name + " replaced"
	}
	if r.countVoters() >= r.voters {
		if r.hasNobodyToReplace(learner) {
			return r.without(learner.ID), "learner " + learner.Name + " has no place"
		}
		return consensus.Membership{}, ""
	}
	promoted := learner
	promoted.Learner = false
	return r.move(learner, promoted), "learner " + learner.Name + " promoted"
}

// hasNobodyToReplace is true if every voter that the learner could replace
// answers: the one that it came for is back. The learner would keep the group
// from ever being whole, and others from being added.
func (r *repair) hasNobodyToReplace(learner consensus.Member) bool {
	for _, voter := range r.status.Membership.Members {
		akin := voter.Address == learner.Address || voter.Name == learner.Name || voter.Zone == learner.Zone
		if akin && !voter.Learner && !r.answeredLately(voter.ID) {
			return false
		}
	}
	return true
}

// superseded is true if another disk asks to join at the learner's address.
func (r *repair) superseded(learner consensus.Member) bool {
	for _, request := range r.joins {
		if request.member.Address == learner.Address && request.member.ID != learner.ID {
			return r.silence(learner.ID) > reachableWithin
		}
	}
	return false
}

// requestOf is the request of a learner. One that has stopped asking counts as
// having asked before every answer of the others.
func (r *repair) requestOf(learner consensus.Member) joinRequest {
	for _, request := range r.joins {
		if request.member.ID == learner.ID {
			return request
		}
	}
	return joinRequest{member: learner}
}

// hasPlaceFor is true if the group lacks a voter, or has one that the node replaces.
func (r *repair) hasPlaceFor(request joinRequest) bool {
	if r.countVoters() < r.voters {
		return true
	}
	_, found := r.replacedVoter(request)
	return found
}

// replacedVoter is the voter that a node replaces: one at its own address that
// has not answered since the node asked, so its disk is gone from there; else one
// of its name, else one of its zone, that has been unreachable for long enough.
func (r *repair) replacedVoter(request joinRequest) (consensus.Member, bool) {
	member := request.member
	whole := r.countVoters() >= r.voters
	matches := []func(voter consensus.Member) bool{
		func(voter consensus.Member) bool {
			return voter.Address == member.Address && r.status.LastContact[voter.ID] < request.asked
		},
		func(voter consensus.Member) bool { return whole && voter.Name == member.Name && r.unreachable(voter) },
		func(voter consensus.Member) bool { return whole && voter.Zone == member.Zone && r.unreachable(voter) },
	}
	for _, match := range matches {
		for _, voter := range r.status.Membership.Members {
			if !voter.Learner && voter.ID != member.ID && voter.ID != r.status.ID && match(voter) {
				return voter, true
			}
		}
	}
	return consensus.Member{}, false
}

func (r *repair) unreachable(member consensus.Member) bool {
	return r.silence(member.ID) >= r.replaceAfter
}

func (r *repair) countVoters() int {
	count := 0
	for _, member := range r.status.Membership.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (r *repair) with(member consensus.Member) consensus.Membership {
	members := append([]consensus.Member(nil), r.status.Membership.Members...)
	return consensus.Membership{Members: append(members, member)}
}

func (r *repair) without(id consensus.ID) consensus.Membership {
	var members []consensus.Member
	for _, member := range r.status.Membership.Members {
		if member.ID != id {
			members = append(members, member)
		}
	}
	return consensus.Membership{Members: members}
}

// move replaces one member's description, keeping its place and its vote.
func (r *repair) move(old, described consensus.Member) consensus.Membership {
	members := append([]consensus.Member(nil), r.status.Membership.Members...)
	for i := range members {
		if members[i].ID == old.ID {
			members[i] = described
		}
	}
	return consensus.Membership{Members: members}
}
