package peer

// WhereRequest asks a control node or a gateway which gateways the clients of a region
// should use. It is sent again if it is lost. The type must be comparable, since it is the
// key of a cache of answers.
type WhereRequest struct {
	Region string `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// WhereReply answers WhereRequest. It is empty if the sender knows no gateway.
type WhereReply struct {
	Addresses []string `cbor:"1,keyasint,omitempty"`
}
