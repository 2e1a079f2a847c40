package peer

import "github.com/deckpulley/deckpulley/consensus"

// ConsensusMessage carries one message of the replicated log between control nodes.
// A node ignores it if Cluster is not its own. Loss, duplication and reordering are
// harmless.
type ConsensusMessage struct {
	Cluster string            `cbor:"1,keyasint"`
	Message consensus.Message `cbor:"2,keyasint"`
}

// Hello asks a control node for its identity, its cluster and the members it knows.
type Hello struct {
	Name     string       `cbor:"1,keyasint"`           // of the sender
	Identity consensus.ID `cbor:"2,keyasint,omitempty"` // of the sender, if it is a control node
}

// HelloReply answers Hello. Every control node sends it, whether it is a member of a
// cluster or not.
type HelloReply struct {
	Name     string       `cbor:"1,keyasint"`
	Identity consensus.ID `cbor:"2,keyasint"`
	// Cluster is empty while the node belongs to no cluster.
	Cluster string `cbor:"3,keyasint,omitempty"`
	// BootstrapCoordinator is the identity of the node whose Bootstrap this node has
	// promised to accept; empty if there is none.
	BootstrapCoordinator consensus.ID       `cbor:"4,keyasint,omitempty"`
	Leader               consensus.ID       `cbor:"5,keyasint,omitempty"`
	Members              []consensus.Member `cbor:"6,keyasint,omitempty"`
}

// Bootstrap gives a new control node the first membership of a new cluster. A node
// accepts it once, while it belongs to no cluster; a duplicate changes nothing.
type Bootstrap struct {
	Cluster  string             `cbor:"1,keyasint"`
	Snapshot consensus.Snapshot `cbor:"2,keyasint"`
}

// BootstrapReply answers Bootstrap. An accepted one is on disk by then.
type BootstrapReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// Join asks the primary to add a control node whose disk is new. The node repeats it
// until it is a voter; a duplicate changes nothing.
type Join struct {
	Member consensus.Member `cbor:"1,keyasint"`
}

// JoinReply answers Join with the cluster, and with the primary if this node is not
// the primary.
type JoinReply struct {
	Cluster  string             `cbor:"1,keyasint"`
	Accepted bool               `cbor:"2,keyasint"`
	Primary  string             `cbor:"3,keyasint,omitempty"` // peers' address
	Members  []consensus.Member `cbor:"4,keyasint,omitempty"`
}
