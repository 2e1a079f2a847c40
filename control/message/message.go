// Package message defines the messages that control nodes alone exchange. Those
// that gateways take part in are in package peer.
package message

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/transport"
)

// Kinds of messages. They follow those of package peer with a gap.
const (
	KindDescribe  transport.Kind = 64 // call DescribeRequest/Description, control to control
	KindReadIndex transport.Kind = 65 // call ReadIndexRequest/ReadIndexReply, control to the primary
	KindOverview  transport.Kind = 66 // call OverviewRequest/Overview, control to the primary
	KindWhere     transport.Kind = 67 // call WhereRequest/WhereReply, control without a group to a member
)

// DescribeRequest asks a control node for what its member record does not
// contain. A lost one is sent again.
type DescribeRequest struct{}

// Description answers DescribeRequest. It proves that the process with this
// disk was alive after the request was sent.
type Description struct {
	Name            string       `cbor:"1,keyasint"`
	Identity        consensus.ID `cbor:"2,keyasint"`
	Zone            string       `cbor:"3,keyasint"`
	Region          string       `cbor:"4,keyasint"`
	Incarnation     string       `cbor:"5,keyasint"`
	OperatorAddress string       `cbor:"6,keyasint"`
}

// ReadIndexRequest asks the primary for the log index that a reader must have
// applied to observe every update acknowledged before. A lost one is sent again.
type ReadIndexRequest struct{}

// ReadIndexReply answers ReadIndexRequest.
type ReadIndexReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// OverviewRequest asks the primary for the state that only the primary has. If
// it is lost, the sender answers from its own state.
type OverviewRequest struct{}

// Overview answers OverviewRequest.
type Overview struct {
	Status     api.StatusAnswer `cbor:"1,keyasint"`
	RepairDone bool             `cbor:"2,keyasint"`
}

// WhereRequest asks a member which gateways clients of a region should use. It
// is comparable: answers are cached by it.
type WhereRequest struct {
	Region string `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// WhereReply answers WhereRequest. It is empty if the member knows no gateway.
type WhereReply struct {
	Addresses []string `cbor:"1,keyasint,omitempty"`
}
