// Package peer defines the messages between deckpulley's own processes. The doc
// comment of each type says who sends it and who answers, and what follows if it is
// lost or arrives twice.
//
// Messages are sent in CBOR with the numbers of the tags as keys, or as arrays in the
// order of the fields. Nodes of two releases exchange them during an upgrade: numbers
// and the order of arrays stay, and a new field gets a new number.
package peer

import "github.com/deckpulley/deckpulley/transport"

// Kinds of messages. The numbers are sent: they stay, and a new kind gets a new one.
const (
	KindConsensus         transport.Kind = 1  // one-way ConsensusMessage, control to control
	KindHello             transport.Kind = 2  // call Hello/HelloReply, any node to control
	KindBootstrap         transport.Kind = 3  // call Bootstrap/BootstrapReply, coordinator to the other control nodes
	KindJoin              transport.Kind = 4  // call Join/JoinReply, new control node to control
	KindRenew             transport.Kind = 5  // call Renew/Grant, gateway to primary
	KindNotify            transport.Kind = 6  // one-way Notify, primary to gateway
	KindUpdate            transport.Kind = 7  // call UpdateRequest/UpdateReply, any node toward the primary
	KindOperation         transport.Kind = 8  // call OperationRequest/OperationReply, any node toward the primary
	KindIssueTicket       transport.Kind = 9  // call IssueTicket/IssueTicketReply, gateway to gateway
	KindOffer             transport.Kind = 10 // call Offer/OfferReply, gateway to gateway
	KindWithdraw          transport.Kind = 11 // call Withdraw/WithdrawReply, gateway to gateway
	KindRegionUtilization transport.Kind = 12 // one-way RegionUtilization, gateway to gateway
	KindRun               transport.Kind = 13 // stream Run to RunEvents, gateway to the gateway that granted
	KindOwner             transport.Kind = 14 // stream OwnerRequest to RunEvents, gateway to a ticket's owner
	KindReplicaLoads      transport.Kind = 15 // one-way ReplicaLoads, gateway to its group's aggregator
	KindLoadDigest        transport.Kind = 16 // one-way LoadDigest, aggregator to gateways and other aggregators
)
