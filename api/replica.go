package api

// Paths that a replica serves.
const (
	PathReplicaReport   = "/v1/report"   // GET, answered by ReplicaReport
	PathReplicaGenerate = "/v1/generate" // POST ReplicaRequest
)

// ReplicaReport is what a replica says of itself.
type ReplicaReport struct {
	Replica string `json:"replica"`
	// Incarnation changes with every start of the replica process.
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests it decodes side by side at full speed.
	Slots int `json:"slots"`
	// PendingPrefillTokens is the prefill work queued, in tokens.
	PendingPrefillTokens int `json:"pending_prefill_tokens"`
	// PrefillTokensPerSecond is its present prefill speed.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// CacheUsed is the used part of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// CacheEvictions counts prefixes evicted since the start.
	CacheEvictions uint64 `json:"cache_evictions"`
	WeightVersion  string `json:"weight_version"`
	Cold           bool   `json:"cold"`
	Draining       bool   `json:"draining"`
	// ConfigurationVersion is the newest stamp the replica has seen.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Sequence rises with every report of one incarnation.
	Sequence uint64 `json:"sequence"`
}

// Stamp is attached to every request to a replica.
type Stamp struct {
	// ConfigurationVersion is the version that decided the placement. A replica
	// that has seen a newer one answers CodeStale and runs nothing.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Serial is the registry serial that was active at the gateway.
	Serial uint32 `json:"serial"`
	// Gateway and Incarnation name the process that placed the request.
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
	// ReplicaIncarnation is the incarnation of the replica that the placement was
	// decided for. A replica of another one answers CodeRestarted and runs
	// nothing; an empty one is not checked.
	ReplicaIncarnation string `json:"replica_incarnation,omitempty"`
	Attempt            int    `json:"attempt"`
}

// ReplicaRequest is what a gateway sends to a replica. A replica that answers
// an Error with OutcomeRefused has not started the request and never will.
type ReplicaRequest struct {
	RequestID    string   `json:"request_id"`
	Model        string   `json:"model"`
	Class        Class    `json:"class"`
	Prefixes     []Prefix `json:"prefixes,omitempty"`
	PromptTokens int      `json:"prompt_tokens"`
	MaxTokens    int      `json:"max_tokens"`
	Stream       bool     `json:"stream"`
	// TimeLeftMS is the caller's remaining time.
	TimeLeftMS int64 `json:"time_left_ms"`
	Stamp      Stamp `json:"stamp"`
}
