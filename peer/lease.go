package peer

import "github.com/deckpulley/deckpulley/registry"

// GatewayInfo describes the gateway that sends it.
type GatewayInfo struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint"`
	PeerAddress string `cbor:"5,keyasint"`
	HTTPAddress string `cbor:"6,keyasint"`
	// Draining asks to release the gateway's lease, since it shuts down.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is the capacity of its network link in Mbit/s; 0 if it is not known.
	LinkMbps int `cbor:"8,keyasint,omitempty"`
}

// Renew asks the primary for a lease and reports which state the gateway has. The
// gateway counts the lease from the moment it sent this message. If it is lost, the
// gateway sends another.
type Renew struct {
	Cluster string      `cbor:"1,keyasint,omitempty"` // empty before the first grant
	Gateway GatewayInfo `cbor:"2,keyasint"`
	Term    uint64      `cbor:"3,keyasint"` // highest term that the gateway has observed
	// ReceivedSerial is the highest zone serial replicated to the gateway; 0 if none.
	ReceivedSerial uint32 `cbor:"4,keyasint"`
	// ActiveSerial is the serial that decides the gateway's placements; 0 if none.
	ActiveSerial  uint32 `cbor:"5,keyasint"`
	ActiveVersion uint64 `cbor:"6,keyasint"` // of the active configuration
	// LeaseValid says that the gateway had a valid lease when it sent the message.
	LeaseValid bool `cbor:"7,keyasint,omitempty"`
}

// Grant answers Renew. Only a primary whose leadership was confirmed by a quorum
// grants.
type Grant struct {
	// QuorumConfirmed says that the primary's quorum contact was recent enough to decide
	// on leases; it is also true if no lease is granted. The gateway must then apply
	// ActivationSerial and the transfer, and the lease if LeaseMS is above 0. Without it
	// only a gateway that has no state yet may apply the transfer.
	QuorumConfirmed bool   `cbor:"1,keyasint"`
	Cluster         string `cbor:"2,keyasint"`
	Term            uint64 `cbor:"3,keyasint"`
	// LeaseMS is the duration of the lease in milliseconds, counted from the sending
	// of Renew. With QuorumConfirmed, 0 means that there is no lease yet: the gateway
	// activates what it may and renews at once. An earlier lease stays valid until it
	// expires.
	LeaseMS int64 `cbor:"4,keyasint,omitempty"`
	// ActivationSerial is the highest serial that the gateway may activate; 0 is none.
	ActivationSerial uint32 `cbor:"5,keyasint,omitempty"`
	// Transfer brings the gateway's replica up to date. It is nil if the replica is up
	// to date or the transfer is in Packed. See UnpackTransfer.
	Transfer *registry.Transfer `cbor:"6,keyasint,omitempty"`
	// Primary is the peers' address of the primary if this node is not the primary;
	// empty if it is unknown.
	Primary string `cbor:"7,keyasint,omitempty"`
	// ControlAddresses are the peers' addresses of the current control nodes.
	ControlAddresses []string `cbor:"8,keyasint,omitempty"`
	// Packed is a large transfer, compressed.
	Packed PackedTransfer `cbor:"9,keyasint,omitempty"`
}

// UnpackTransfer returns the transfer in whichever form it was sent; nil if the
// gateway's replica is up to date.
func (g *Grant) UnpackTransfer() (*registry.Transfer, error) {
	if g.Packed != nil {
		return g.Packed.Unpack()
	}
	return g.Transfer, nil
}

// Notify tells a gateway that there is a new serial, a new activation or a new
// primary, so that it renews at once (as NOTIFY of RFC 1996 does). If it is lost, the
// next regular renewal brings the same.
type Notify struct {
	Cluster string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Primary string `cbor:"3,keyasint"` // peers' address
	Serial  uint32 `cbor:"4,keyasint"`
	// ActivationSerial is as in Grant. A gateway with a lease of this term activates
	// it at once.
	ActivationSerial uint32 `cbor:"5,keyasint,omitempty"`
}
