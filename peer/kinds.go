// Package peer defines the messages between deckpulley's own processes. The constants
// for the kinds of messages state who sends each message to whom. The doc comments of
// the types state what happens if a message is lost or arrives twice.
//
// Messages are encoded in CBOR. A struct is a map whose keys are the numbers in the
// field tags, or, with the option toarray, an array in the order of the fields. During
// an upgrade, nodes of two releases exchange messages. Therefore never change the number
// of a field or the order of an array, and give a new field a new number.
package peer

import "github.com/deckpulley/deckpulley/transport"

// Kinds of messages. The numbers are part of the protocol: never change them, and give
// a new kind a new number.
const (
	KindConsensus         transport.Kind = 1  // one-way ConsensusMessage, control to control
	KindHello             transport.Kind = 2  // call Hello/HelloReply, any node to control
	KindBootstrap         transport.Kind = 3  // call Bootstrap/BootstrapReply, coordinator to the other control nodes
	KindJoin              transport.Kind = 4  // call Join/JoinReply, new control node to control
	KindRenew             transport.Kind = 5  // call Renew/Grant, gateway to primary
	KindNotify            transport.Kind = 6  // one-way Notify, primary to gateway
	KindUpdate            transport.Kind = 7  // call UpdateRequest/UpdateReply, any node to the primary, possibly forwarded
	KindOperation         transport.Kind = 8  // call OperationRequest/OperationReply, any node to the primary, possibly forwarded
	KindIssueTicket       transport.Kind = 9  // call IssueTicket/IssueTicketReply, gateway to gateway
	KindOffer             transport.Kind = 10 // call Offer/OfferReply, gateway to gateway
	KindWithdraw          transport.Kind = 11 // call Withdraw/WithdrawReply, gateway to gateway
	KindRegionUtilization transport.Kind = 12 // one-way RegionUtilization, gateway to gateway
	KindRun               transport.Kind = 13 // stream Run to RunEvents, gateway to the gateway that granted the offer
	KindOwner             transport.Kind = 14 // stream OwnerRequest to RunEvents, gateway to the owner of a ticket
	KindReplicaLoads      transport.Kind = 15 // one-way ReplicaLoads, gateway to its group's aggregator
	KindLoadDigest        transport.Kind = 16 // one-way LoadDigest, aggregator to its group's gateways and other aggregators
	KindFetchState        transport.Kind = 17 // call FetchState/FetchStateReply, gateway to gateway
	KindWitnessVote       transport.Kind = 18 // call WitnessVote/WitnessVoteReply, voter without a leader to gateway
	KindWhere             transport.Kind = 67 // call WhereRequest/WhereReply, control without a group to a member or a gateway
)
