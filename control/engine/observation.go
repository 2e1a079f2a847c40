package engine

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/membership"
)

// Observation is what the event loop shows to everybody else: one immutable
// reading after a batch of events.
type Observation struct {
	// At is when it was made, on the clock of the event queue.
	At time.Duration
	// Identity is that of this node's disk.
	Identity consensus.ID
	// Cluster is the id of the group; empty before this node has one.
	Cluster string
	// Status is that of the replicated log.
	Status consensus.Status
	// Catalog is the state of the registry; nil before there is one.
	Catalog *catalog.State
	Serial  uint32
	// Applied is the index of the newest entry that is in the catalog.
	Applied uint64
	// Primary is true while this node leads and has applied everything that was
	// committed before it was elected.
	Primary bool
	// Contact is the send time of the newest heartbeat round that a quorum
	// acknowledged, if ContactKnown.
	Contact      time.Duration
	ContactKnown bool
	// InForce is the newest serial known to be active at every lease holder, if
	// InForceKnown.
	InForce      uint32
	InForceKnown bool

	// superseded is closed when a newer observation was published.
	superseded chan struct{}
}

// Member returns a member by its identity.
func (o *Observation) Member(id consensus.ID) (consensus.Member, bool) {
	return membership.Find(o.Status.Membership, id)
}

// Voter is true if this node votes in the group, as far as it knows.
func (o *Observation) Voter() bool {
	member, found := o.Member(o.Identity)
	return found && !member.Learner
}

// WithoutGroup is true while this node knows no membership: it has found no group,
// or was not admitted to it.
func (o *Observation) WithoutGroup() bool { return len(o.Status.Membership.Members) == 0 }

// LeaderAddress is the peer address of the leader; empty if unknown.
func (o *Observation) LeaderAddress() string {
	member, found := o.Member(o.Status.Leader)
	if !found {
		return ""
	}
	return member.Address
}

// Ready returns nil if the node may do its work: it votes, and knows a primary.
// Otherwise it returns why not.
func (o *Observation) Ready() *api.Error {
	switch {
	case o.Cluster == "" || o.Catalog == nil:
		return apierror.NotReady("this node belongs to no group yet")
	case !o.Voter():
		return apierror.NotReady("this node does not vote yet")
	case o.LeaderAddress() == "":
		return apierror.NotReady("no primary is known")
	case o.Status.Role == consensus.Leader && !o.Primary:
		return apierror.NotReady("this node was just elected")
	default:
		return nil
	}
}
