package api

// Paths that a replica serves to gateways.
const (
	PathReplicaReport   = "/v1/report"   // GET, answered by ReplicaReport
	PathReplicaGenerate = "/v1/generate" // POST ReplicaRequest
)

// ReplicaReport is a replica's report of its own state.
type ReplicaReport struct {
	Replica string `json:"replica"`
	// Incarnation changes with every start of the replica process.
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	// Running and Queued are the numbers of running and of waiting requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the replica decodes concurrently at full speed.
	Slots int `json:"slots"`
	// PendingPrefillTokens is the queued prefill work, in tokens.
	PendingPrefillTokens int `json:"pending_prefill_tokens"`
	// PrefillTokensPerSecond is the current prefill rate.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// CacheUsed is the used fraction of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// CacheEvictions is the number of prefixes evicted from the KV cache since the
	// process started.
	CacheEvictions uint64 `json:"cache_evictions"`
	WeightVersion  string `json:"weight_version"`
	Cold           bool   `json:"cold"`
	Draining       bool   `json:"draining"`
	// ConfigurationVersion is the highest Stamp.ConfigurationVersion that the replica has
	// received.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Sequence increases with every report of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// Stamp identifies the routing decision behind a request to a replica. Every such request
// contains one.
type Stamp struct {
	// ConfigurationVersion is the version of the configuration under which the replica was
	// chosen. A replica that has seen a newer one responds with CodeStale and does not run
	// the request.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Serial is the registry serial that was active at the gateway.
	Serial uint32 `json:"serial"`
	// Gateway and Incarnation identify the process that sent the request.
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
	// ReplicaIncarnation is the incarnation of the replica that was chosen. A replica of
	// another incarnation responds with CodeRestarted and does not run the request. An
	// empty value is not checked.
	ReplicaIncarnation string `json:"replica_incarnation,omitempty"`
	Attempt            int    `json:"attempt"`
}

// ReplicaRequest is a request from a gateway to a replica. A replica that responds with
// an Error of OutcomeRefused has not run the request and never will.
type ReplicaRequest struct {
	RequestID    string   `json:"request_id"`
	Model        string   `json:"model"`
	Class        Class    `json:"class"`
	Prefixes     []Prefix `json:"prefixes,omitempty"`
	PromptTokens int      `json:"prompt_tokens"`
	MaxTokens    int      `json:"max_tokens"`
	Stream       bool     `json:"stream"`
	// TimeLeftMS is the time left until the caller's deadline, in milliseconds.
	TimeLeftMS int64 `json:"time_left_ms"`
	Stamp      Stamp `json:"stamp"`
}
