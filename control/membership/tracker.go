package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// joinTimeout is how long a join request remains valid unless it is repeated. A node that
// knows addresses of lost nodes repeats it only after it has waited for their answers.
const joinTimeout = 2 * time.Second

// JoinRequest is a node's request to become a voter, or a member's request to change its
// description.
type JoinRequest struct {
	Member consensus.Member
	// ReceivedAt is when the node's newest request arrived.
	ReceivedAt time.Duration
}

// Tracker tracks, for one term of a leader, the pending join requests and the times at which
// the members were first seen.
type Tracker struct {
	joins     map[consensus.ID]JoinRequest
	firstSeen map[consensus.ID]time.Duration
}

// NewTracker returns the tracker of a new leader.
func NewTracker() *Tracker {
	return &Tracker{
		joins:     make(map[consensus.ID]JoinRequest),
		firstSeen: make(map[consensus.ID]time.Duration),
	}
}

// RecordJoin records a join request. It drops requests with another identity from the same
// address: their disks are no longer there.
func (t *Tracker) RecordJoin(request JoinRequest) {
	for id, other := range t.joins {
		if other.Member.Address == request.Member.Address {
			delete(t.joins, id)
		}
	}
	t.joins[request.Member.ID] = request
}

// RecordUpdatedMember records a request for a member whose name, address or zone has
// changed. Unlike RecordJoin it retains other requests from the same address.
func (t *Tracker) RecordUpdatedMember(request JoinRequest) {
	t.joins[request.Member.ID] = request
}

// HasJoins reports whether there are join requests.
func (t *Tracker) HasJoins() bool { return len(t.joins) > 0 }

// ExpireJoins drops the requests that were not repeated within joinTimeout.
func (t *Tracker) ExpireJoins(now time.Duration) {
	for id, request := range t.joins {
		if now-request.ReceivedAt > joinTimeout {
			delete(t.joins, id)
		}
	}
}

// Observe records the time at which each new member was first seen, and drops former
// members.
func (t *Tracker) Observe(now time.Duration, current consensus.Membership) {
	for id := range t.firstSeen {
		if _, found := Find(current, id); !found {
			delete(t.firstSeen, id)
		}
	}
	for _, member := range current.Members {
		if _, known := t.firstSeen[member.ID]; !known {
			t.firstSeen[member.ID] = now
		}
	}
}

// Joins returns the join requests, ordered by identity.
func (t *Tracker) Joins() []JoinRequest {
	joins := make([]JoinRequest, 0, len(t.joins))
	for _, request := range t.joins {
		joins = append(joins, request)
	}
	slices.SortFunc(joins, func(a, b JoinRequest) int { return strings.Compare(string(a.Member.ID), string(b.Member.ID)) })
	return joins
}

// FirstSeen returns when each member was first seen. The map is valid until the
// next call of Observe.
func (t *Tracker) FirstSeen() map[consensus.ID]time.Duration { return t.firstSeen }
