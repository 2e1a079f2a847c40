package peer

import "github.com/deckpulley/deckpulley/api"

// IssueTicket asks a gateway of another region to become the owner of a request.
type IssueTicket struct {
	Request api.WhereRequest `cbor:"1,keyasint"`
}

// IssueTicketReply answers IssueTicket with the owner's ticket, or with an error.
type IssueTicketReply struct {
	Answer *api.WhereAnswer `cbor:"1,keyasint,omitempty"`
	Error  *api.Error       `cbor:"2,keyasint,omitempty"`
}

// Offer asks a gateway of another region to reserve capacity for a request, which Run
// then starts. If the reply is lost, the reservation expires.
type Offer struct {
	OfferID string              `cbor:"1,keyasint"`
	From    string              `cbor:"2,keyasint"` // name of the sending gateway
	Request api.GenerateRequest `cbor:"3,keyasint"` // without its ticket
	// HomeRegions are the only regions that may run the request; if empty, every region
	// may.
	HomeRegions          []string `cbor:"4,keyasint,omitempty"`
	RemainingMS          int64    `cbor:"5,keyasint"` // time until the request's deadline, in milliseconds
	ConfigurationVersion uint64   `cbor:"6,keyasint"` // active version at the sender
	Attempt              int      `cbor:"7,keyasint"` // number of this attempt, from 1
	Incarnation          string   `cbor:"8,keyasint"` // of the sending gateway
	// WaitMS is the longest time in milliseconds that the request may wait for capacity,
	// in the same queue as the region's own requests. If it is 0, the offer is granted
	// only if there is free capacity.
	WaitMS int64 `cbor:"9,keyasint,omitempty"`
}

// OfferReply answers Offer with a reservation, or rejects it.
type OfferReply struct {
	Granted bool `cbor:"1,keyasint"`
	// ReservationMS is the time in milliseconds after which the reservation expires.
	ReservationMS int64      `cbor:"2,keyasint,omitempty"`
	Error         *api.Error `cbor:"3,keyasint,omitempty"`
	// Incarnation is the incarnation of the granting gateway. Run must reach the same
	// incarnation.
	Incarnation string `cbor:"4,keyasint,omitempty"`
}

// Withdraw cancels an offer. Only after NeverRan has confirmed the withdrawal may the
// sender report the request as refused, or try it elsewhere.
type Withdraw struct {
	OfferID     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// WithdrawReply answers Withdraw. If NeverRan is true, the request has not run and will
// not run.
type WithdrawReply struct {
	NeverRan bool `cbor:"1,keyasint"`
}

// Run starts the request of a granted offer and opens the stream of its RunEvents. It
// is sent at most once: if the connection breaks afterwards, the outcome is unknown
// unless a Withdraw is confirmed.
type Run struct {
	OfferID     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// OwnerRequest forwards a request that has a ticket to the gateway that owns the
// ticket, and opens the stream of the request's RunEvents.
type OwnerRequest struct {
	Request api.GenerateRequest `cbor:"1,keyasint"`
}

// RunEvent is one event of the response to a request. Exactly one of its pointers is
// set. Answer, End or Error is the last event of the stream.
type RunEvent struct {
	Answer *api.GenerateAnswer `cbor:"1,keyasint,omitempty"`
	Chunk  *api.StreamChunk    `cbor:"2,keyasint,omitempty"`
	End    *api.StreamEnd      `cbor:"3,keyasint,omitempty"`
	Error  *api.Error          `cbor:"4,keyasint,omitempty"`
	// Attempts is the number of attempts that may have reached a replica. It is set in
	// the last event.
	Attempts int `cbor:"5,keyasint,omitempty"`
}
