package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

// joinTimeout is how long a request to join counts without being repeated.
const joinTimeout = time.Second

// JoinRequest is the request of a node to become a voter.
type JoinRequest struct {
	Member consensus.Member
	// ReceivedAt is when the newest request of the node arrived.
	ReceivedAt time.Duration
}

// Tracker keeps what one leader observes of members and of nodes that ask to
// join, for its term.
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

// RecordJoin keeps a request to join. Another identity at the same address is
// dropped: it is that of a disk which is no longer there.
func (t *Tracker) RecordJoin(request JoinRequest) {
	for id, other := range t.joins {
		if other.Member.Address == request.Member.Address {
			delete(t.joins, id)
		}
	}
	t.joins[request.Member.ID] = request
}

// RecordMove keeps a request to join for a member whose name, address or zone
// has changed. Requests from the same address stay.
func (t *Tracker) RecordMove(request JoinRequest) {
	t.joins[request.Member.ID] = request
}

// HasJoins says whether a node asks to join.
func (t *Tracker) HasJoins() bool { return len(t.joins) > 0 }

// ExpireJoins drops requests that were not repeated in time.
func (t *Tracker) ExpireJoins(now time.Duration) {
	for id, request := range t.joins {
		if now-request.ReceivedAt > joinTimeout {
			delete(t.joins, id)
		}
	}
}

// Observe records when each member was first seen, and forgets who is none any more.
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

// Joins returns the requests to join, ordered by identity.
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
