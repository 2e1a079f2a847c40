package peer

import "github.com/deckpulley/deckpulley/registry"

// FetchState asks a gateway for the state by which it decides, if that is newer than the
// sender's. A gateway whose renewals no control node grants sends it. If the message or
// its answer is lost, the sender asks again, this gateway or another one; a duplicate has
// no effect.
type FetchState struct {
	Cluster string `cbor:"1,keyasint"` // of the sender
	// ReceivedSerial and ActiveSerial have the same meaning as in Renew.
	ReceivedSerial uint32 `cbor:"2,keyasint,omitempty"`
	ActiveSerial   uint32 `cbor:"3,keyasint,omitempty"`
}

// FetchStateReply answers FetchState. A primary has approved the activation of the state
// that it carries, so the state is committed, and every gateway that had a lease then has
// received it. States that the sender has received but not activated are never sent.
type FetchStateReply struct {
	Cluster string `cbor:"1,keyasint"` // of the sender
	// ActiveSerial is the serial of the state by which the sender decides; 0 if none.
	ActiveSerial uint32 `cbor:"2,keyasint,omitempty"`
	// Transfer brings a copy of the registry from ReceivedSerial of the request to
	// ActiveSerial. It is nil if the sender has nothing newer, limits the rate, or if
	// Packed has the transfer. See UnpackTransfer.
	Transfer *registry.Transfer `cbor:"3,keyasint,omitempty"`
	// Packed is the transfer in compressed form, used for a large one.
	Packed PackedTransfer `cbor:"4,keyasint,omitempty"`
}

// UnpackTransfer returns the transfer, which it decompresses if necessary. It returns
// nil if the reply has no transfer.
func (r *FetchStateReply) UnpackTransfer() (*registry.Transfer, error) {
	return unpackEither(r.Transfer, r.Packed)
}

// unpackEither returns the packed transfer, decompressed, or else the other one.
func unpackEither(transfer *registry.Transfer, packed PackedTransfer) (*registry.Transfer, error) {
	if packed != nil {
		return packed.Unpack()
	}
	return transfer, nil
}
