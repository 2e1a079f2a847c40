package peer

import "github.com/deckpulley/deckpulley/consensus"

// WitnessVote asks a gateway, as a witness of two voters, to let the sender go on alone. A
// gateway votes for one candidate in each epoch. If the message or its answer is lost, the
// sender asks again; a duplicate gets the same answer.
type WitnessVote struct {
	Cluster string `cbor:"1,keyasint"`
	// Epoch is that of the membership that names the witness.
	Epoch     uint64       `cbor:"2,keyasint"`
	Candidate consensus.ID `cbor:"3,keyasint"`
	// Incarnation is that of the witness in the membership. A process that was restarted
	// has forgotten its votes, and is no witness any more.
	Incarnation string `cbor:"4,keyasint"`
}

// WitnessVoteReply answers WitnessVote.
type WitnessVoteReply struct {
	Granted bool `cbor:"1,keyasint"`
}
