package api

// Paths of the operator port of a control node. Every control node serves them; one
// that is not the primary forwards requests to it.
const (
	PathConfiguration = "/v1/configuration" // GET ConfigurationAnswer; PUT ConfigurationOperation; PATCH ConfigurationPatchOperation
	PathZones         = "/v1/zones"         // GET ZonesAnswer
	PathEvacuations   = "/v1/evacuations"   // POST EvacuationOperation
	PathStatus        = "/v1/status"        // GET StatusAnswer
	PathMembers       = "/v1/members"       // GET MembersAnswer
	PathReplicas      = "/v1/replicas"      // GET ReplicasAnswer; PUT ReplicaList (platform)
	PathOperations    = "/v1/orders"        // GET OperationsAnswer
	PathMetrics       = "/metrics"
)

// PathExplain is served by gateways on the operator port: POST GenerateRequest, answered
// by ExplainAnswer. The request is not run.
const PathExplain = "/v1/explain"

// ConfigurationOperation replaces the configuration document.
type ConfigurationOperation struct {
	// OperationID makes the operation idempotent: a resend gets the first result.
	OperationID string `json:"order_id"`
	// BaseVersion is the version that the document is based on, or 0 for the first
	// configuration.
	BaseVersion uint64 `json:"base_version"`
	Author      string `json:"author,omitempty"`
	// Document is the text of the configuration file, in YAML or JSON.
	Document string `json:"document"`
}

// ConfigurationPatchOperation changes named items of the configuration document and
// leaves the rest of its text unchanged.
type ConfigurationPatchOperation struct {
	// OperationID makes the operation idempotent: a resend gets the first result.
	OperationID string `json:"order_id"`
	// BaseVersion is the version that the change is based on. The operation is rejected
	// if it is not the current one.
	BaseVersion uint64 `json:"base_version"`
	Author      string `json:"author,omitempty"`
	// Change is the text of the change, in YAML or JSON.
	Change string `json:"change"`
}

// EvacuationOperation evacuates a zone, or withdraws an evacuation.
type EvacuationOperation struct {
	OperationID string `json:"order_id"`
	Zone        string `json:"zone"`
	Withdraw    bool   `json:"withdraw,omitempty"`
	Author      string `json:"author,omitempty"`
}

// OperationResult is the result of an operation. It is stored with the operation's
// effect and returned to every resend.
type OperationResult struct {
	OperationID string `json:"order_id"`
	// Accepted is false for a rejected operation. Error then describes the reason.
	Accepted bool `json:"accepted"`
	// Version is the configuration version after the operation.
	Version uint64 `json:"version"`
	// Serial is the registry serial at which the operation took effect.
	Serial uint32 `json:"serial"`
	Error  *Error `json:"error,omitempty"`
}

// ConfigurationAnswer contains the current configuration.
type ConfigurationAnswer struct {
	Version  uint64 `json:"version"`
	Serial   uint32 `json:"serial"`
	Author   string `json:"author,omitempty"`
	Document string `json:"document"`
}

// ZoneStatus reports whether a zone is evacuated.
type ZoneStatus struct {
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	Evacuated bool   `json:"evacuated"`
}

// ZonesAnswer lists the zones.
type ZonesAnswer struct {
	Zones []ZoneStatus `json:"zones"`
}

// ReplicaEntry is an entry of the platform's list of replicas.
type ReplicaEntry struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is host:port of the replica's HTTP server.
	Address  string `json:"address"`
	Draining bool   `json:"draining,omitempty"`
	// Slots is the number of requests that the replica runs concurrently, or 0 if it is
	// unknown.
	Slots int `json:"slots,omitempty"`
	// ColdMS is the remaining warm-up time, in milliseconds. It is nil if the platform does
	// not know it; the replica's condition then comes from the gateway that monitors it.
	ColdMS *int64 `json:"cold_ms,omitempty"`
}

// ReplicaList replaces the whole list of replicas.
type ReplicaList struct {
	Replicas []ReplicaEntry `json:"replicas"`
}

// ReplicasAnswer lists the replicas with their entries in the registry.
type ReplicasAnswer struct {
	Serial   uint32          `json:"serial"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is a replica with its condition.
type ReplicaStatus struct {
	ReplicaEntry
	Region string `json:"region"`
	// Condition is "up", "cold", "draining" or "down".
	Condition string `json:"condition"`
	// WarmupGateway is the only gateway that may send requests to the replica while it is
	// warming up.
	WarmupGateway string `json:"feeder,omitempty"`
}

// MemberStatus is the status of one of deckpulley's nodes.
type MemberStatus struct {
	Name        string `json:"name"`
	Role        string `json:"role"` // "control" or "gateway"
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
	// HTTPAddress is the address of a gateway's caller port, or of a control node's
	// operator port.
	HTTPAddress string `json:"http_address"`
	Up          bool   `json:"up"`
	// Identity, Voter, Learner and MatchIndex are set for control nodes.
	Identity   string `json:"identity,omitempty"`
	Voter      bool   `json:"voter,omitempty"`
	Learner    bool   `json:"learner,omitempty"`
	MatchIndex uint64 `json:"match_index,omitempty"`
	// LeaseMS, ReceivedSerial, ActiveSerial and ActiveVersion are set for gateways, by the
	// primary. LeaseMS is the remaining time of the lease, in milliseconds.
	LeaseMS        int64  `json:"lease_ms,omitempty"`
	ReceivedSerial uint32 `json:"held_serial,omitempty"`
	ActiveSerial   uint32 `json:"active_serial,omitempty"`
	ActiveVersion  uint64 `json:"active_version,omitempty"`
}

// MembersAnswer lists deckpulley's nodes.
type MembersAnswer struct {
	Members []MemberStatus `json:"members"`
	// RepairDone reports whether every voter is reachable and has all committed entries.
	RepairDone bool `json:"repair_done"`
}

// StatusAnswer summarizes the state of the control plane.
type StatusAnswer struct {
	Node           string `json:"node"`
	Primary        string `json:"primary"`
	PrimaryAddress string `json:"primary_address"` // of the operator port
	Term           uint64 `json:"term"`
	CommitIndex    uint64 `json:"commit_index"`
	AppliedIndex   uint64 `json:"applied_index"`
	Serial         uint32 `json:"serial"`
	// InForceSerial is the highest serial known to be active at every lease holder.
	InForceSerial uint32         `json:"in_force_serial"`
	Version       uint64         `json:"version"`
	Leases        int            `json:"leases"`
	Members       []MemberStatus `json:"members"`
	Degraded      []string       `json:"degraded,omitempty"`
	// Services has the load of each service in the gateway's region. Control nodes leave it
	// empty.
	Services []ServiceLoad `json:"services,omitempty"`
}

// ServiceLoad is the load of a service in a region as a gateway of that region sees it.
type ServiceLoad struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Utilization is the number of requests divided by the limit, so that 1 is full.
	// SetPoint is its target value.
	Utilization float64 `json:"utilization"`
	SetPoint    float64 `json:"set_point"`
	// Spill is the fraction of the region's requests that are sent to other regions.
	Spill float64 `json:"spill"`
	// Limit, InFlight and Queued are numbers of requests.
	Limit    int `json:"limit"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Replicas is the number of all listed replicas. The fields below are the numbers of
	// those in one state.
	Replicas  int `json:"replicas"`
	Usable    int `json:"usable"`
	WarmingUp int `json:"cold"`
	Draining  int `json:"draining"`
	Ejected   int `json:"ejected"`
}

// OperationStatus is the stored result of an earlier operation.
type OperationStatus struct {
	// Number orders the results by age: a newer one has a larger number.
	Number      uint64 `json:"number"`
	OperationID string `json:"order_id"`
	Accepted    bool   `json:"accepted"`
	// Version is the configuration version after the operation.
	Version uint64 `json:"version"`
	// Code, Field and Reason describe why the operation was rejected.
	Code   Code   `json:"code,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// OperationsAnswer lists the stored results of earlier operations, newest first.
type OperationsAnswer struct {
	Serial uint32            `json:"serial"`
	Orders []OperationStatus `json:"orders"`
}

// ExplainStep is a step of a routing decision.
type ExplainStep struct {
	// Step names the decision, Result is its result and Reason explains it.
	Step   string `json:"step"`
	Result string `json:"result"`
	Reason string `json:"reason"`
}

// ExplainRegion is a region as the responding gateway sees it.
type ExplainRegion struct {
	Region string `json:"region"`
	// Rank is the position in the order of attempts, starting at 1, or 0 if the region is
	// not a candidate.
	Rank int `json:"rank"`
	// Load is the utilization of the region, where 1 is full. LoadFreshness is "fresh",
	// "stale" (reports have stopped) or "unheard" (the region has never reported).
	Load          float64 `json:"load"`
	LoadFreshness string  `json:"knowledge"`
	// Usable is false if the region has no admitted replica or no gateway in the routing
	// plan.
	Usable       bool `json:"usable"`
	AcceptsSpill bool `json:"takes_spill"`
}

// ExplainReplica is a replica of the responding gateway's region.
type ExplainReplica struct {
	Replica string `json:"replica"`
	// State is "usable", or the reason why the replica gets no new requests from this
	// gateway.
	State string `json:"state"`
	// InFlight is the number of this gateway's requests, and Others that of the other
	// gateways' requests. Limit is the concurrency limit.
	InFlight int `json:"in_flight"`
	Others   int `json:"others"`
	Limit    int `json:"limit"`
	// FirstTokenMS is the expected time to the first token of this request if none of its
	// prefixes is cached, in milliseconds.
	FirstTokenMS int64 `json:"first_token_ms"`
}

// ExplainAnswer reports where a request would be sent now, and why.
type ExplainAnswer struct {
	Gateway              string           `json:"gateway"`
	Region               string           `json:"region"`
	ConfigurationVersion uint64           `json:"configuration_version"`
	Serial               uint32           `json:"serial"`
	Steps                []ExplainStep    `json:"steps"`
	Regions              []ExplainRegion  `json:"regions"`
	Replicas             []ExplainReplica `json:"replicas"`
	// Error is the error with which the request would be rejected, or nil if it would be
	// accepted.
	Error *Error `json:"error,omitempty"`
}
