// Package message defines the messages that are exchanged only between control nodes.
// Those that gateways send or receive, too, are in package peer.
package message

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/transport"
)

// Kinds of messages. They start at 64, to leave room for kinds of package peer, which also
// has 67.
const (
	KindDescribe  transport.Kind = 64 // call DescribeRequest/Description, control to control
	KindReadIndex transport.Kind = 65 // call ReadIndexRequest/ReadIndexReply, control to the primary
	KindOverview  transport.Kind = 66 // call OverviewRequest/Overview, control to the primary
)

// DescribeRequest asks a control node for its description, which includes what the group's
// membership does not contain. It is sent again if it is lost.
type DescribeRequest struct{}

// Description answers DescribeRequest. It proves that the process with the disk of this
// identity was alive after the request was sent.
type Description struct {
	Name            string       `cbor:"1,keyasint"`
	Identity        consensus.ID `cbor:"2,keyasint"`
	Zone            string       `cbor:"3,keyasint"`
	Region          string       `cbor:"4,keyasint"`
	Incarnation     string       `cbor:"5,keyasint"`
	OperatorAddress string       `cbor:"6,keyasint"`
}

// ReadIndexRequest asks the primary for the log index that a reader must have applied to
// observe every update that was acknowledged before the request. It is sent again if it is
// lost.
type ReadIndexRequest struct{}

// ReadIndexReply answers ReadIndexRequest.
type ReadIndexReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// OverviewRequest asks the primary for the status of the group, parts of which only the
// primary knows. If it is lost, the sender reports its own state instead.
type OverviewRequest struct{}

// Overview answers OverviewRequest.
type Overview struct {
	Status     api.StatusAnswer `cbor:"1,keyasint"`
	RepairDone bool             `cbor:"2,keyasint"`
}
