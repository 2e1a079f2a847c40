package api

// Paths of the operators' port of a control node. Every node of the control
// role answers; one that is not the primary forwards toward it.
const (
	PathConfiguration = "/v1/configuration" // GET ConfigurationAnswer; PUT ConfigurationOrder; PATCH ConfigurationChangeOrder
	PathZones         = "/v1/zones"         // GET ZonesAnswer
	PathEvacuations   = "/v1/evacuations"   // POST EvacuationOrder
	PathStatus        = "/v1/status"        // GET StatusAnswer
	PathMembers       = "/v1/members"       // GET MembersAnswer
	PathReplicas      = "/v1/replicas"      // GET ReplicasAnswer; PUT ReplicaList (platform)
	PathOperations    = "/v1/orders"        // GET OrdersAnswer
	PathMetrics       = "/metrics"
)

// PathExplain of a gateway's operators' port: POST GenerateRequest, answered by
// ExplainAnswer. Nothing is decided or sent.
const PathExplain = "/v1/explain"

// ConfigurationOperation hands over a whole configuration document.
type ConfigurationOperation struct {
	// OperationID makes a resend safe: the first answer is repeated.
	OperationID string `json:"order_id"`
	// BaseVersion is the version the document was built on; 0 is none yet.
	BaseVersion uint64 `json:"base_version"`
	Author      string `json:"author,omitempty"`
	// Document is the configuration file's text (YAML or JSON).
	Document string `json:"document"`
}

// ConfigurationPatchOperation changes named items of the configuration document and
// leaves the rest of its text.
type ConfigurationPatchOperation struct {
	// OperationID makes a resend safe: the first answer is repeated.
	OperationID string `json:"order_id"`
	// BaseVersion is the version that the change is made to, and no other.
	BaseVersion uint64 `json:"base_version"`
	Author      string `json:"author,omitempty"`
	// Change is the text of the change (YAML or JSON).
	Change string `json:"change"`
}

// EvacuationOperation empties a zone, or withdraws that.
type EvacuationOperation struct {
	OperationID string `json:"order_id"`
	Zone        string `json:"zone"`
	Withdraw    bool   `json:"withdraw,omitempty"`
	Author      string `json:"author,omitempty"`
}

// OperationResult acknowledges an order. It is stored with the order's effect and
// repeated to every resend.
type OperationResult struct {
	OperationID string `json:"order_id"`
	// Accepted is false for a refused order; Error then says why.
	Accepted bool `json:"accepted"`
	// Version is the configuration version after the order.
	Version uint64 `json:"version"`
	// Serial is the registry serial that made the order visible.
	Serial uint32 `json:"serial"`
	Error  *Error `json:"error,omitempty"`
}

// ConfigurationAnswer reads the configuration back.
type ConfigurationAnswer struct {
	Version  uint64 `json:"version"`
	Serial   uint32 `json:"serial"`
	Author   string `json:"author,omitempty"`
	Document string `json:"document"`
}

// ZoneStatus is one zone and whether it is evacuated.
type ZoneStatus struct {
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	Evacuated bool   `json:"evacuated"`
}

// ZonesAnswer lists the zones.
type ZonesAnswer struct {
	Zones []ZoneStatus `json:"zones"`
}

// ReplicaEntry is one replica as the platform lists it.
type ReplicaEntry struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is host:port of the replica's HTTP server.
	Address  string `json:"address"`
	Draining bool   `json:"draining,omitempty"`
	// Slots is the number of requests that it runs side by side, 0 if not told.
	Slots int `json:"slots,omitempty"`
	// ColdMS is how long it stays cold, in milliseconds; nil leaves that to the
	// gateway that watches the replica.
	ColdMS *int64 `json:"cold_ms,omitempty"`
}

// ReplicaList replaces the whole list of replicas.
type ReplicaList struct {
	Replicas []ReplicaEntry `json:"replicas"`
}

// ReplicasAnswer lists the replicas with what the registry holds of them.
type ReplicasAnswer struct {
	Serial   uint32          `json:"serial"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is one replica with its slow facts.
type ReplicaStatus struct {
	ReplicaEntry
	Region string `json:"region"`
	// Condition is "up", "cold", "draining" or "down".
	Condition string `json:"condition"`
	// Feeder is the one gateway that may place on it while it is cold.
	Feeder string `json:"feeder,omitempty"`
}

// MemberStatus is one node of ours.
type MemberStatus struct {
	Name        string `json:"name"`
	Role        string `json:"role"` // "control" or "gateway"
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	// HTTPAddress is the callers' port of a gateway, the operators' of a control node.
	HTTPAddress string `json:"http_address"`
	Up          bool   `json:"up"`
	// Identity, Voter, Learner and MatchIndex are set for control nodes.
	Identity   string `json:"identity,omitempty"`
	Voter      bool   `json:"voter,omitempty"`
	Learner    bool   `json:"learner,omitempty"`
	MatchIndex uint64 `json:"match_index,omitempty"`
	// LeaseMS, HeldSerial, ActiveSerial and ActiveVersion are set for gateways, at the primary.
	LeaseMS        int64  `json:"lease_ms,omitempty"`
	ReceivedSerial uint32 `json:"held_serial,omitempty"`
	ActiveSerial   uint32 `json:"active_serial,omitempty"`
	ActiveVersion  uint64 `json:"active_version,omitempty"`
}

// MembersAnswer lists the nodes.
type MembersAnswer struct {
	Members []MemberStatus `json:"members"`
	// RepairDone is true when every voter is reachable and holds everything committed.
	RepairDone bool `json:"repair_done"`
}

// StatusAnswer is one screen about the control plane.
type StatusAnswer struct {
	Node           string `json:"node"`
	Primary        string `json:"primary"`
	PrimaryAddress string `json:"primary_address"` // operators' address
	Term           uint64 `json:"term"`
	CommitIndex    uint64 `json:"commit_index"`
	AppliedIndex   uint64 `json:"applied_index"`
	Serial         uint32 `json:"serial"`
	// InForceSerial is the newest serial known to be active at every lease holder.
	InForceSerial uint32         `json:"in_force_serial"`
	Version       uint64         `json:"version"`
	Leases        int            `json:"leases"`
	Members       []MemberStatus `json:"members"`
	Degraded      []string       `json:"degraded,omitempty"`
	// Services are those of a gateway's own region; only a gateway fills them in.
	Services []ServiceLoad `json:"services,omitempty"`
}

// ServiceLoad is one service in one region as a gateway of that region sees it.
type ServiceLoad struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Utilization is work over limit, 1 is full; SetPoint is what is aimed at.
	Utilization float64 `json:"utilization"`
	SetPoint    float64 `json:"set_point"`
	// Spill is the part of the region's own requests that is sent elsewhere.
	Spill float64 `json:"spill"`
	// Limit, InFlight and Queued count requests.
	Limit    int `json:"limit"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Replicas counts all that are listed, the others those in that state.
	Replicas int `json:"replicas"`
	Usable   int `json:"usable"`
	Cold     int `json:"cold"`
	Draining int `json:"draining"`
	Ejected  int `json:"ejected"`
}

// OperationStatus is one order's answer that is still kept.
type OperationStatus struct {
	// Number orders the answers by age, newer is larger.
	Number      uint64 `json:"number"`
	OperationID string `json:"order_id"`
	Accepted    bool   `json:"accepted"`
	// Version is the configuration version after the order.
	Version uint64 `json:"version"`
	// Code, Field and Reason say why an order was refused.
	Code   Code   `json:"code,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// OperationsAnswer lists kept orders, newest first.
type OperationsAnswer struct {
	Serial uint32            `json:"serial"`
	Orders []OperationStatus `json:"orders"`
}

// ExplainStep is one step of the decision about a request.
type ExplainStep struct {
	// Step is what was decided, Result what came out, Reason where it comes from.
	Step   string `json:"step"`
	Result string `json:"result"`
	Reason string `json:"reason"`
}

// ExplainRegion is one region as the explaining gateway knows it.
type ExplainRegion struct {
	Region string `json:"region"`
	// Rank is the place in the order of attempts, 1 first; 0 is not a candidate.
	Rank int `json:"rank"`
	// Load is its utilization, 1 is full, and Knowledge how that is known:
	// "fresh", "stale" (reports have stopped) or "unheard" (there never was one).
	Load      float64 `json:"load"`
	Knowledge string  `json:"knowledge"`
	// Usable is false if the plan leaves it no replica or no gateway.
	Usable     bool `json:"usable"`
	TakesSpill bool `json:"takes_spill"`
}

// ExplainReplica is one replica of the explaining gateway's region.
type ExplainReplica struct {
	Replica string `json:"replica"`
	// State is "usable", or why it gets nothing new from this gateway.
	State string `json:"state"`
	// InFlight counts this gateway's requests, Others the rest; Limit is this
	// gateway's bound.
	InFlight int `json:"in_flight"`
	Others   int `json:"others"`
	Limit    int `json:"limit"`
	// FirstTokenMS is the expected time to the first token of this request, in
	// milliseconds, with nothing of its prompt cached.
	FirstTokenMS int64 `json:"first_token_ms"`
}

// ExplainAnswer says where a request would go at this moment, and why.
type ExplainAnswer struct {
	Gateway              string           `json:"gateway"`
	Region               string           `json:"region"`
	ConfigurationVersion uint64           `json:"configuration_version"`
	Serial               uint32           `json:"serial"`
	Steps                []ExplainStep    `json:"steps"`
	Regions              []ExplainRegion  `json:"regions"`
	Replicas             []ExplainReplica `json:"replicas"`
	// Error is the answer that the request would get if it would be refused.
	Error *Error `json:"error,omitempty"`
}
