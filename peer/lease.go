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
	// Draining asks the primary to release the gateway's lease, because the gateway is
	// shutting down.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the gateway's network link in Mbit/s, or 0 if unknown.
	LinkMbps int `cbor:"8,keyasint,omitempty"`
}

// Renew asks the primary for a lease and reports which state the gateway has. The
// lease is counted from the time at which the gateway sent this message. If the message
// is lost, the gateway sends a new one.
type Renew struct {
	Cluster string      `cbor:"1,keyasint,omitempty"` // empty before the first grant
	Gateway GatewayInfo `cbor:"2,keyasint"`
	Term    uint64      `cbor:"3,keyasint"` // highest term that the gateway has observed
	// ReceivedSerial is the newest zone serial replicated to the gateway, or 0 if none.
	ReceivedSerial uint32 `cbor:"4,keyasint"`
	// ActiveSerial is the serial of the state that the gateway uses to place requests,
	// or 0 if none.
	ActiveSerial  uint32 `cbor:"5,keyasint"`
	ActiveVersion uint64 `cbor:"6,keyasint"` // version of the active configuration
	// LeaseValid is true if the gateway had a valid lease when it sent the message.
	LeaseValid bool `cbor:"7,keyasint,omitempty"`
	// Follows asks for transfers and the activation serial although the gateway has
	// released its lease: it is shutting down, but still has requests in flight.
	Follows bool `cbor:"8,keyasint,omitempty"`
}

// Grant answers Renew. A node that is not the primary, or a primary that a quorum has
// not confirmed recently enough, also answers, but does not grant a lease.
type Grant struct {
	// QuorumConfirmed is true if the sender is the primary and its quorum contact was
	// recent enough to decide on leases. It does not mean that a lease was granted: see
	// LeaseMS. If it is true, the gateway must apply ActivationSerial and the transfer.
	// If it is false, no lease was granted, the gateway must ignore ActivationSerial, and
	// only a gateway that has no state yet may store the transfer.
	QuorumConfirmed bool   `cbor:"1,keyasint"`
	Cluster         string `cbor:"2,keyasint"`
	Term            uint64 `cbor:"3,keyasint"`
	// LeaseMS is the duration of the granted lease in milliseconds, counted from the time
	// at which the gateway sent Renew. It is 0 if no lease was granted, for example
	// because the gateway must first activate a newer serial. An earlier lease remains
	// valid until it expires.
	LeaseMS int64 `cbor:"4,keyasint,omitempty"`
	// ActivationSerial is the newest serial that the gateway may activate, or 0 if none.
	ActivationSerial uint32 `cbor:"5,keyasint,omitempty"`
	// Transfer brings the gateway's copy of the registry up to date. It is nil if the
	// copy is already up to date or if Packed has the transfer. See UnpackTransfer.
	Transfer *registry.Transfer `cbor:"6,keyasint,omitempty"`
	// Primary is the peer address of the primary if the sender is not the primary. It is
	// empty if the sender does not know the primary.
	Primary string `cbor:"7,keyasint,omitempty"`
	// ControlAddresses are the peer addresses of the current control nodes.
	ControlAddresses []string `cbor:"8,keyasint,omitempty"`
	// Packed is the transfer in compressed form, used for a large one.
	Packed PackedTransfer `cbor:"9,keyasint,omitempty"`
}

// UnpackTransfer returns the transfer, which it decompresses if necessary. It returns
// nil if the grant has no transfer.
func (g *Grant) UnpackTransfer() (*registry.Transfer, error) {
	return unpackEither(g.Transfer, g.Packed)
}

// Notify informs a gateway of a new serial, a new activation serial or a new primary,
// so that it renews at once (compare NOTIFY in RFC 1996). If the message is lost, the
// gateway gets the same information with its next regular renewal.
type Notify struct {
	Cluster string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Primary string `cbor:"3,keyasint"` // peer address of the primary
	Serial  uint32 `cbor:"4,keyasint"`
	// ActivationSerial has the same meaning as in Grant. A gateway whose lease is of this
	// term activates it at once.
	ActivationSerial uint32 `cbor:"5,keyasint,omitempty"`
}
