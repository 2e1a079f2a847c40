// Package peer defines the messages between deckpulley's own processes. Each
// type says who sends it, who answers, and what a lost or doubled one does.
package peer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
	"github.com/deckpulley/deckpulley/transport"
)

// Kinds of messages. The numbers are sent: they stay, and a new kind gets a new one.
const (
	KindConsensus         transport.Kind = 1  // one-way ConsensusMessage, control to control
	KindHello             transport.Kind = 2  // call Hello/HelloReply, any node to control
	KindBootstrap         transport.Kind = 3  // call Form/FormReply, forming control node to the others
	KindJoin              transport.Kind = 4  // call Join/JoinReply, new control node to control
	KindRenew             transport.Kind = 5  // call Renew/Grant, gateway to primary
	KindNotify            transport.Kind = 6  // one-way Notify, primary to gateway
	KindUpdate            transport.Kind = 7  // call UpdateRequest/UpdateReply, any node toward the primary
	KindOperation         transport.Kind = 8  // call OrderRequest/OrderReply, control toward the primary
	KindIssueTicket       transport.Kind = 9  // call MintTicket/MintTicketReply, gateway to gateway
	KindOffer             transport.Kind = 10 // call Offer/OfferReply, gateway to gateway
	KindWithdraw          transport.Kind = 11 // call Withdraw/WithdrawReply, gateway to gateway
	KindRegionUtilization transport.Kind = 12 // one-way RegionLoad, gateway to gateway
	KindRun               transport.Kind = 13 // stream Run to RunEvents, gateway to the gateway that granted
	KindOwner             transport.Kind = 14 // stream OwnerRequest to RunEvents, gateway to a ticket's owner
	KindReplicaLoads      transport.Kind = 15 // one-way ReplicaLoads, gateway to its group's aggregator
	KindLoadDigest        transport.Kind = 16 // one-way LoadDigest, aggregator to gateways and other aggregators
)

// ConsensusMessage wraps one message of the replicated log. Cluster keeps the
// messages of another group out. Loss, doubling and reordering are harmless.
type ConsensusMessage struct {
	Cluster string            `cbor:"1,keyasint"`
	Message consensus.Message `cbor:"2,keyasint"`
}

// Hello asks a control node what it is and whom it knows.
type Hello struct {
	Name     string       `cbor:"1,keyasint"`
	Identity consensus.ID `cbor:"2,keyasint,omitempty"`
}

// HelloReply is answered by every control node, formed or not.
type HelloReply struct {
	Name     string       `cbor:"1,keyasint"`
	Identity consensus.ID `cbor:"2,keyasint"`
	// Cluster is empty while the node belongs to no group.
	Cluster string `cbor:"3,keyasint,omitempty"`
	// BootstrapCoordinator is the identity of the node whose Form it has promised to accept.
	BootstrapCoordinator consensus.ID       `cbor:"4,keyasint,omitempty"`
	Leader               consensus.ID       `cbor:"5,keyasint,omitempty"`
	Members              []consensus.Member `cbor:"6,keyasint,omitempty"`
}

// Bootstrap tells a fresh control node the first membership of a new group. It is
// accepted once, by a node that has no group. A doubled one changes nothing.
type Bootstrap struct {
	Cluster  string             `cbor:"1,keyasint"`
	Snapshot consensus.Snapshot `cbor:"2,keyasint"`
}

// BootstrapReply acknowledges after the disk has it.
type BootstrapReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// Join asks the primary to add a control node whose disk is new. It is repeated
// until the node is a voter; a doubled one changes nothing.
type Join struct {
	Member consensus.Member `cbor:"1,keyasint"`
}

// JoinReply names the group, and the primary if this node is not it.
type JoinReply struct {
	Cluster  string             `cbor:"1,keyasint"`
	Accepted bool               `cbor:"2,keyasint"`
	Primary  string             `cbor:"3,keyasint,omitempty"` // peers' address
	Members  []consensus.Member `cbor:"4,keyasint,omitempty"`
}

// GatewayInfo is what a gateway says of itself.
type GatewayInfo struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint"`
	PeerAddress string `cbor:"5,keyasint"`
	HTTPAddress string `cbor:"6,keyasint"`
	Draining    bool   `cbor:"7,keyasint,omitempty"` // drains and goes: give the lease up
	// LinkMbps is what its network link carries, in Mbit/s; 0 is not told.
	LinkMbps int `cbor:"8,keyasint,omitempty"`
}

// Renew asks for a lease and reports what the gateway holds. The gateway counts
// the lease from the moment it sent this message. A lost one is sent again.
type Renew struct {
	Cluster string      `cbor:"1,keyasint,omitempty"` // empty until first granted
	Gateway GatewayInfo `cbor:"2,keyasint"`
	Term    uint64      `cbor:"3,keyasint"` // newest term the gateway has seen
	// ReceivedSerial is the newest serial it has a copy of, 0 for none; Active is the one
	// that decides its placements, 0 for none.
	ReceivedSerial uint32 `cbor:"4,keyasint"`
	ActiveSerial   uint32 `cbor:"5,keyasint"`
	ActiveVersion  uint64 `cbor:"6,keyasint"`
	// LeaseValid says that the gateway's lease is valid at the sending.
	LeaseValid bool `cbor:"7,keyasint,omitempty"`
}

// Grant answers Renew. Only a primary with proof of its leadership grants.
type Grant struct {
	// Granted says that Activate and Transfer are to be taken, and the lease if
	// LeaseMS is above zero. Without it a transfer may be held by a gateway that holds
	// nothing yet.
	Granted bool   `cbor:"1,keyasint"`
	Cluster string `cbor:"2,keyasint"`
	Term    uint64 `cbor:"3,keyasint"`
	// LeaseMS is the length of the lease in milliseconds from the sending of Renew.
	// Zero with Granted is no lease yet: the gateway makes what it may active and
	// renews at once. An older lease that is still valid stays so.
	LeaseMS int64 `cbor:"4,keyasint,omitempty"`
	// ActivationSerial allows the gateway to make every held serial up to this one active; 0 is none.
	ActivationSerial uint32 `cbor:"5,keyasint,omitempty"`
	// Transfer brings the gateway's copy up to date; nil when it is, or when Packed
	// has it.
	Transfer *registry.Transfer `cbor:"6,keyasint,omitempty"`
	// Primary is the peers' address of the primary when this node is not it; empty if unknown.
	Primary string `cbor:"7,keyasint,omitempty"`
	// ControlAddresses lists the control nodes' peers' addresses as they are now.
	ControlAddresses []string `cbor:"8,keyasint,omitempty"`
	// Packed is a large transfer.
	Packed PackedTransfer `cbor:"9,keyasint,omitempty"`
}

// UnpackTransfer returns what brings the gateway's copy up to date, nil when it is.
func (g *Grant) UnpackTransfer() (*registry.Transfer, error) {
	if g.Packed != nil {
		return g.Packed.Unpack()
	}
	return g.Transfer, nil
}

// Notify tells a gateway that there is something to renew for (as RFC 1996):
// a new serial, a new activation or a new primary. A lost one is made good by
// the next renewal.
type Notify struct {
	Cluster string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Primary string `cbor:"3,keyasint"` // peers' address
	Serial  uint32 `cbor:"4,keyasint"`
	// ActivationSerial is as in Grant: a gateway with a lease of this term acts on it at once.
	ActivationSerial uint32 `cbor:"5,keyasint,omitempty"`
}

// UpdateRequest forwards one registry update toward the primary (section 6).
type UpdateRequest struct {
	Update registry.Update `cbor:"1,keyasint"`
	// Hops bounds forwarding, since the source has no loop detection (7.17).
	Hops uint8 `cbor:"2,keyasint"`
}

// UpdateReply answers after the primary has (6.4).
type UpdateReply struct {
	Code   registry.ResponseCode `cbor:"1,keyasint"`
	Serial uint32                `cbor:"2,keyasint"`
	// Primary hints where to go when Code is ServFail for want of a primary here.
	Primary string `cbor:"3,keyasint,omitempty"`
}

// OperationRequest forwards an operator's or the platform's order. Exactly one of
// the orders is set.
type OperationRequest struct {
	Configuration *api.ConfigurationOperation `cbor:"1,keyasint,omitempty"`
	Evacuation    *api.EvacuationOperation    `cbor:"2,keyasint,omitempty"`
	Replicas      *api.ReplicaList            `cbor:"3,keyasint,omitempty"`
	Hops          uint8                       `cbor:"4,keyasint"`
	// WaitMS is how long the sender will wait, in milliseconds.
	WaitMS   int64              `cbor:"5,keyasint"`
	RouteMap *RouteMapOperation `cbor:"6,keyasint,omitempty"`
	// ConfigurationChange changes named items of the configuration document.
	ConfigurationChange *api.ConfigurationPatchOperation `cbor:"7,keyasint,omitempty"`
}

// RouteMapOperation hands over a whole map of routes by host and path, or a change of
// the current one. Its identity is its base version and its text: the same order,
// sent again, is the same.
type RouteMapOperation struct {
	BaseVersion uint64 `cbor:"1,keyasint"`
	// Map is the whole map; it is not used if Change is set.
	Map routemap.Map `cbor:"2,keyasint"`
	// Text is the map or the change as the operator wrote it.
	Text string `cbor:"3,keyasint"`
	// Zones are the fleet's zones with their regions.
	Zones map[string]string `cbor:"4,keyasint"`
	// Change, if set, is made to the map of the base version by the primary.
	Change *RouteMapChange `cbor:"5,keyasint,omitempty"`
}

// Version is that of the map that the order leads to.
func (o *RouteMapOperation) Version() uint64 {
	if o.Change != nil {
		return o.Change.Map.Version
	}
	return o.Map.Version
}

// RouteMapChange is a change of a map of routes, and the same change of the text
// in which operators read the map back.
type RouteMapChange struct {
	Map  routemap.Change `cbor:"1,keyasint"`
	Text patch.Change    `cbor:"2,keyasint"`
}

// OperationReply carries the first answer to the order, or an error that leaves the
// order open.
type OperationReply struct {
	Answer *api.OperationResult `cbor:"1,keyasint,omitempty"`
	Error  *api.Error           `cbor:"2,keyasint,omitempty"`
}

// IssueTicket asks another region's gateway to own a request.
type IssueTicket struct {
	Request api.WhereRequest `cbor:"1,keyasint"`
}

// IssueTicketReply carries the owner's ticket.
type IssueTicketReply struct {
	Answer *api.WhereAnswer `cbor:"1,keyasint,omitempty"`
	Error  *api.Error       `cbor:"2,keyasint,omitempty"`
}

// Offer asks a gateway of another region to take a request. A lost reply
// leaves a grant that dies by itself.
type Offer struct {
	OfferID              string              `cbor:"1,keyasint"`
	From                 string              `cbor:"2,keyasint"` // gateway name
	Request              api.GenerateRequest `cbor:"3,keyasint"` // without its ticket
	HomeRegions          []string            `cbor:"4,keyasint,omitempty"`
	RemainingMS          int64               `cbor:"5,keyasint"` // ms
	ConfigurationVersion uint64              `cbor:"6,keyasint"` // sender's active configuration version
	Attempt              int                 `cbor:"7,keyasint"`
	Incarnation          string              `cbor:"8,keyasint"` // sender's incarnation
	// WaitMS is how long the request may wait there for room, in the queue and in
	// turn with the region's own requests; 0 asks for room at once.
	WaitMS int64 `cbor:"9,keyasint,omitempty"`
}

// OfferReply grants a reservation that lives GrantMS, or declines.
type OfferReply struct {
	Granted       bool       `cbor:"1,keyasint"`
	ReservationMS int64      `cbor:"2,keyasint,omitempty"`
	Error         *api.Error `cbor:"3,keyasint,omitempty"`
	// Incarnation of the granting gateway; the body must reach the same one.
	Incarnation string `cbor:"4,keyasint,omitempty"`
}

// Withdraw cancels an offer. Only a confirmed withdrawal lets the sender say
// refused or try elsewhere.
type Withdraw struct {
	OfferID     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// WithdrawReply confirms that the offer never ran and never will.
type WithdrawReply struct {
	NeverRan bool `cbor:"1,keyasint"`
}

// RegionUtilization is a gateway's digest of its own region, sent to gateways of other
// regions. A lost or stale one makes spill less even, nothing else.
type RegionUtilization struct {
	Region               string             `cbor:"1,keyasint"`
	Gateway              string             `cbor:"2,keyasint"`
	Sequence             uint64             `cbor:"3,keyasint"`
	UtilizationByService map[string]float64 `cbor:"4,keyasint"` // utilization by service, 1 is full
}

// Run starts the work of a granted offer, once. It is not repeated: a break
// after it was sent leaves the outcome unknown unless a Withdraw is confirmed.
type Run struct {
	OfferID     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// OwnerRequest passes a request with a ticket to the gateway that the ticket names.
type OwnerRequest struct {
	Request api.GenerateRequest `cbor:"1,keyasint"`
}

// RunEvent is one step of an answer. Exactly one of its pointers is set. Answer,
// End and Error are the last of their stream.
type RunEvent struct {
	Answer *api.GenerateAnswer `cbor:"1,keyasint,omitempty"`
	Chunk  *api.StreamPiece    `cbor:"2,keyasint,omitempty"`
	End    *api.StreamEnd      `cbor:"3,keyasint,omitempty"`
	Error  *api.Error          `cbor:"4,keyasint,omitempty"`
	// Attempts is the number of attempts that may have reached a replica, told
	// with the last event.
	Attempts int `cbor:"5,keyasint,omitempty"`
}

// ReplicaKey names a replica in messages that are sent often: a part of its id's
// hash. Two replicas of one key would be taken for one another's load, which makes
// placement less even, nothing else.
type ReplicaKey uint32

// NewReplicaKey is the key of a replica, or of a gateway.
func NewReplicaKey(id string) ReplicaKey { return ReplicaKey(xxhash.Sum64String(id)) }

// ReplicaLoads tells a group's aggregator what a gateway has under way at replicas,
// and which prompts it has placed and measured since its last message. A lost or
// late one makes placement less even, nothing else.
type ReplicaLoads struct {
	Gateway        string              `cbor:"1,keyasint"`
	Loads          map[ReplicaKey]Load `cbor:"2,keyasint,omitempty"`
	PlacedPrompts  []PlacedPrompt      `cbor:"3,keyasint,omitempty"`
	PrefillSamples []PrefillSample     `cbor:"4,keyasint,omitempty"`
}

// LoadDigest is what an aggregator has heard: of its own group's gateways, and, to
// them, of other groups and regions. What a gateway is told leaves out what it told itself. A
// lost one makes placement less even, nothing else.
type LoadDigest struct {
	// Aggregator is the gateway that sends the digest.
	Aggregator string        `cbor:"1,keyasint"`
	Regions    []RegionLoads `cbor:"2,keyasint"`
}

// RegionLoads is what the gateways of one region have under way.
type RegionLoads struct {
	Region string `cbor:"1,keyasint"`
	// Aggregator is the gateway that added the loads up.
	Aggregator string `cbor:"2,keyasint"`
	// Complete says that Loads has the sums of all loads; else it has none.
	Complete bool                `cbor:"3,keyasint,omitempty"`
	Loads    map[ReplicaKey]Load `cbor:"4,keyasint,omitempty"`
	// PrefillTotals are readings of short prompts, added up.
	PrefillTotals []PrefillTotal `cbor:"5,keyasint,omitempty"`
	// PlacedPrompts are the prompts that are told one by one.
	PlacedPrompts []PlacedPrompt `cbor:"6,keyasint,omitempty"`
	// PrefillSamples is the newest measured prompt of each replica that has one.
	PrefillSamples []PrefillSample `cbor:"7,keyasint,omitempty"`
}

// Load is what one gateway or several have under way at one replica.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	// Tokens are the tokens of all its requests.
	Tokens int
}

// Add adds another load up.
func (l Load) Add(other Load) Load {
	l.Requests += other.Requests
	l.Tokens += other.Tokens
	return l
}

// PrefillTotal is what replicas were given to read by short prompts.
type PrefillTotal struct {
	_         struct{} `cbor:",toarray"`
	Replica   ReplicaKey
	PrefillMS int // below zero for prompts that were taken back
}

// PlacedPrompt is a prompt that a replica has been given to read.
type PlacedPrompt struct {
	_       struct{} `cbor:",toarray"`
	Replica ReplicaKey
	// PrefillMS is the expected time to read it, in milliseconds; below zero for one
	// that was taken back.
	PrefillMS int
	// Gateway is the key of the gateway that placed it.
	Gateway ReplicaKey
	// Prefixes are the hashes of the shared parts that the replica will hold, the
	// outermost first. Short ones are not told.
	Prefixes []uint64
}

// PrefillSample is what one prompt that a replica read alone told of its speed.
type PrefillSample struct {
	_       struct{} `cbor:",toarray"`
	Replica ReplicaKey
	// ReferenceUS is what there was to read, in microseconds of a reference replica, and
	// TookUS the microseconds that passed until the first event.
	ReferenceUS uint32
	MeasuredUS  uint32
}
