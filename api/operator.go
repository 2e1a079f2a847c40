package api

// Paths of the operators' port of a control node. Every node of the control
// role answers; one that is not the primary forwards toward it.
const (
	PathConfiguration = "/v1/configuration" // GET ConfigurationAnswer; PUT ConfigurationOrder
	PathZones         = "/v1/zones"         // GET ZonesAnswer
	PathEvacuations   = "/v1/evacuations"   // POST EvacuationOrder
	PathStatus        = "/v1/status"        // GET StatusAnswer
	PathMembers       = "/v1/members"       // GET MembersAnswer
	PathReplicas      = "/v1/replicas"      // GET ReplicasAnswer; PUT ReplicaList (platform)
	PathMetrics       = "/metrics"
)

// ConfigurationOrder hands over a whole configuration document.
type ConfigurationOrder struct {
	// OrderID makes a resend safe: the first answer is repeated.
	OrderID string `json:"order_id"`
	// BaseVersion is the version the document was built on; 0 is none yet.
	BaseVersion uint64 `json:"base_version"`
	Author      string `json:"author,omitempty"`
	// Document is the configuration file's text (YAML or JSON).
	Document string `json:"document"`
}

// EvacuationOrder empties a zone, or withdraws that.
type EvacuationOrder struct {
	OrderID  string `json:"order_id"`
	Zone     string `json:"zone"`
	Withdraw bool   `json:"withdraw,omitempty"`
	Author   string `json:"author,omitempty"`
}

// OrderAnswer acknowledges an order. It is stored with the order's effect and
// repeated to every resend.
type OrderAnswer struct {
	OrderID string `json:"order_id"`
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
	LeaseMS       int64  `json:"lease_ms,omitempty"`
	HeldSerial    uint32 `json:"held_serial,omitempty"`
	ActiveSerial  uint32 `json:"active_serial,omitempty"`
	ActiveVersion uint64 `json:"active_version,omitempty"`
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
}
