package peer

import "github.com/deckpulley/deckpulley/api"

// IssueTicket asks a gateway of another region to own a request.
type IssueTicket struct {
	Request api.WhereRequest `cbor:"1,keyasint"`
}

// IssueTicketReply answers IssueTicket with the owner's ticket, or with an error.
type IssueTicketReply struct {
	Answer *api.WhereAnswer `cbor:"1,keyasint,omitempty"`
	Error  *api.Error       `cbor:"2,keyasint,omitempty"`
}

// Offer asks a gateway of another region to run a request. If the reply is lost, the
// reservation that was granted expires.
type Offer struct {
	OfferID string              `cbor:"1,keyasint"`
	From    string              `cbor:"2,keyasint"` // name of the sending gateway
	Request api.GenerateRequest `cbor:"3,keyasint"` // without its ticket
	// HomeRegions are the only regions that may run the request; empty is all.
	HomeRegions          []string `cbor:"4,keyasint,omitempty"`
	RemainingMS          int64    `cbor:"5,keyasint"` // until the request's deadline, in milliseconds
	ConfigurationVersion uint64   `cbor:"6,keyasint"` // active at the sender
	Attempt              int      `cbor:"7,keyasint"` // number of this attempt, from 1
	Incarnation          string   `cbor:"8,keyasint"` // of the sending gateway
	// WaitMS bounds the time in milliseconds that the request may wait for capacity, in
	// the queue with the region's own requests; 0 asks for free capacity.
	WaitMS int64 `cbor:"9,keyasint,omitempty"`
}

// OfferReply answers Offer with a reservation, or rejects it.
type OfferReply struct {
	Granted bool `cbor:"1,keyasint"`
	// ReservationMS is the time in milliseconds after which the reservation expires.
	ReservationMS int64      `cbor:"2,keyasint,omitempty"`
	Error         *api.Error `cbor:"3,keyasint,omitempty"`
	// Incarnation is that of the granting gateway. Run must reach the same one.
	Incarnation string `cbor:"4,keyasint,omitempty"`
}

// Withdraw cancels an offer. Only with a confirmed withdrawal may the sender answer
// that the request was refused, or try it elsewhere.
type Withdraw struct {
	OfferID     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// WithdrawReply answers Withdraw. NeverRan confirms that the request has not run and
// will not run.
type WithdrawReply struct {
	NeverRan bool `cbor:"1,keyasint"`
}

// Run starts a granted offer, once, and opens the stream of its RunEvents. It is not
// repeated: if the connection breaks after it was sent, the outcome is unknown unless
// a Withdraw is confirmed.
type Run struct {
	OfferID     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// OwnerRequest forwards a request with a ticket to the gateway that the ticket names,
// and opens the stream of its RunEvents.
type OwnerRequest struct {
	Request api.GenerateRequest `cbor:"1,keyasint"`
}

// RunEvent is one event of an answer. Exactly one of its pointers is set. Answer, End
// and Error are the last event of their stream.
type RunEvent struct {
	Answer *api.GenerateAnswer `cbor:"1,keyasint,omitempty"`
	Chunk  *api.StreamChunk    `cbor:"2,keyasint,omitempty"`
	End    *api.StreamEnd      `cbor:"3,keyasint,omitempty"`
	Error  *api.Error          `cbor:"4,keyasint,omitempty"`
	// Attempts is the number of attempts that may have reached a replica. It is set in
	// the last event.
	Attempts int `cbor:"5,keyasint,omitempty"`
}
