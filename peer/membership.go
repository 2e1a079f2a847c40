package peer

import "github.com/deckpulley/deckpulley/consensus"

// ConsensusMessage carries one consensus message between control nodes. A node ignores
// it if Cluster is not the node's own cluster. The consensus protocol tolerates loss,
// duplication and reordering.
type ConsensusMessage struct {
	Cluster string            `cbor:"1,keyasint"`
	Message consensus.Message `cbor:"2,keyasint"`
}

// Hello asks a control node for its identity, its cluster and the members that it
// knows.
type Hello struct {
	Name     string       `cbor:"1,keyasint"`           // of the sender
	Identity consensus.ID `cbor:"2,keyasint,omitempty"` // of the sender, if it is a control node
	// Initial is true if the sender is an initial control node of a cluster that it knows
	// of no bootstrap of yet.
	Initial bool `cbor:"3,keyasint,omitempty"`
	// PeerAddress is the address of the sender, if it is a gateway.
	PeerAddress string `cbor:"4,keyasint,omitempty"`
}

// HelloReply answers Hello. Every control node sends it, whether it is a member of a
// cluster or not, and every gateway that belongs to a cluster.
type HelloReply struct {
	Name     string       `cbor:"1,keyasint"`
	Identity consensus.ID `cbor:"2,keyasint"`
	// Cluster is the node's cluster; empty if the node does not belong to one yet.
	Cluster string `cbor:"3,keyasint,omitempty"`
	// BootstrapCoordinator is the identity of the node that this node expects to bootstrap
	// the cluster; empty if there is none. If it is set, this node rejects a Bootstrap
	// whose membership does not contain that node.
	BootstrapCoordinator consensus.ID       `cbor:"4,keyasint,omitempty"`
	Leader               consensus.ID       `cbor:"5,keyasint,omitempty"`
	Members              []consensus.Member `cbor:"6,keyasint,omitempty"`
	// Initial has the same meaning as in Hello.
	Initial bool `cbor:"7,keyasint,omitempty"`
	// ActiveSerial is the serial of the state by which the sender decides, if it is a
	// gateway and has one.
	ActiveSerial uint32 `cbor:"8,keyasint,omitempty"`
	// Gateways are the peer addresses of some gateways of the cluster, in an answer to a
	// gateway.
	Gateways []string `cbor:"9,keyasint,omitempty"`
}

// Bootstrap sends a new control node the first membership of a new cluster. A node
// accepts it only while it does not belong to a cluster; a duplicate has no effect.
type Bootstrap struct {
	Cluster  string             `cbor:"1,keyasint"`
	Snapshot consensus.Snapshot `cbor:"2,keyasint"`
}

// BootstrapReply answers Bootstrap. If Accepted is true, the node has already written
// the snapshot to disk.
type BootstrapReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// Join asks the primary to add a control node that starts with an empty disk. The node
// repeats it until it is a voter; a duplicate has no effect.
type Join struct {
	Member consensus.Member `cbor:"1,keyasint"`
}

// JoinReply answers Join with the cluster and, if the sender is not the primary, with
// the primary's address.
type JoinReply struct {
	Cluster  string             `cbor:"1,keyasint"`
	Accepted bool               `cbor:"2,keyasint"`
	Primary  string             `cbor:"3,keyasint,omitempty"` // peer address of the primary
	Members  []consensus.Member `cbor:"4,keyasint,omitempty"`
}
