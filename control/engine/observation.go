package engine

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/membership"
)

// Observation is an immutable snapshot of the event loop's state for other goroutines,
// taken after a batch of events.
type Observation struct {
	// At is when the observation was taken, on the clock of the event queue.
	At time.Duration
	// Identity is the identity of this node's disk.
	Identity consensus.ID
	// Cluster is the id of the group; empty until this node belongs to one.
	Cluster string
	// Status is the status of the replicated log.
	Status consensus.Status
	// Catalog is the state of the registry, nil until this node has one, and Serial
	// the serial of its table.
	Catalog *catalog.State
	Serial  uint32
	// DiskFull is true while this node does not participate in its group because its disk
	// is full. Catalog and Serial are then those from before.
	DiskFull bool
	// Applied is the index of the newest log entry that the catalog includes.
	Applied uint64
	// Primary is true while this node leads and has applied everything that was
	// committed before it was elected.
	Primary bool
	// QuorumContact is the send time of the newest heartbeat round that a quorum
	// acknowledged, if QuorumContactKnown.
	QuorumContact      time.Duration
	QuorumContactKnown bool
	// InForce is the newest serial known to be active at every lease holder, if
	// InForceKnown.
	InForce      uint32
	InForceKnown bool

	// superseded is closed when a newer observation is published.
	superseded chan struct{}
}

// Member returns the member with an identity, and whether there is one.
func (o *Observation) Member(id consensus.ID) (consensus.Member, bool) {
	return membership.Find(o.Status.Membership, id)
}

// Voter reports whether this node is a voter according to its own log.
func (o *Observation) Voter() bool {
	member, found := o.Member(o.Identity)
	return found && !member.Learner
}

// KnowsNoMembership reports whether this node knows no membership: it has found no group,
// or was not admitted to one.
func (o *Observation) KnowsNoMembership() bool { return len(o.Status.Membership.Members) == 0 }

// LeaderAddress returns the peer address of the leader; empty if unknown.
func (o *Observation) LeaderAddress() string {
	member, found := o.Member(o.Status.Leader)
	if !found {
		return ""
	}
	return member.Address
}

// Ready returns nil if this node is ready to serve: it is a voter and knows the primary.
// Otherwise it returns an error with the reason.
func (o *Observation) Ready() *api.Error {
	switch {
	case o.DiskFull:
		return apierror.NotReady("the disk of this node is full")
	case o.Cluster == "" || o.Catalog == nil:
		return apierror.NotReady("this node belongs to no group yet")
	case !o.Voter():
		return apierror.NotReady("this node is not a voter of its group yet")
	case o.LeaderAddress() == "":
		return apierror.NotReady("no primary is known")
	case o.Status.Role == consensus.Leader && !o.Primary:
		return apierror.NotReady("this node was elected leader but does not serve as the primary yet")
	default:
		return nil
	}
}
