package api

import "time"

// Paths of the caller port of a gateway.
const (
	PathWhere    = "/v1/where"    // POST WhereRequest, answered by WhereAnswer
	PathRequests = "/v1/requests" // POST GenerateRequest, answered by GenerateAnswer or a stream
)

// Paths that every node serves, on the caller port of a gateway or the operator port of
// a control node.
const (
	PathLive  = "/livez"  // 200 while the process is running
	PathReady = "/readyz" // 200 if the node is ready, else 503 with an Error
)

// Limits of the caller port. A request that exceeds one is rejected with CodeTooLarge or
// CodeInvalid.
const (
	MaxBodyBytes      = 1 << 20  // bytes of a request body
	MaxNameBytes      = 128      // bytes of any ID or name
	MaxPrefixes       = 64       // entries of a prefix sequence
	MaxPromptTokens   = 1 << 20  // tokens of a prompt, all prefixes included
	MaxOutputTokens   = 1 << 16  // tokens to generate
	MaxWaitMS         = 600_000  // maximum timeout of a caller, in milliseconds
	MaxHeaderBytes    = 16 << 10 // bytes of an HTTP header
	MaxReplicaAnswer  = 8 << 20  // bytes of a replica's complete answer
	MaxStreamLine     = 64 << 10 // bytes of a line of a stream
	DefaultWaitMillis = 30_000   // timeout of a caller that sets none, in milliseconds
)

// Wait returns the timeout for a request with the given wait_ms, in milliseconds. Zero or
// less selects DefaultWaitMillis.
func Wait(waitMS int64) time.Duration {
	if waitMS <= 0 {
		waitMS = DefaultWaitMillis
	}
	return time.Duration(waitMS) * time.Millisecond
}

// Class is the latency class of a request.
type Class string

const (
	// ClassQuick is a short, latency-sensitive request.
	ClassQuick Class = "quick"
	// ClassLong is a long streamed answer.
	ClassLong Class = "long"
	// ClassFetch is a request to a small web service, such as snippets or portal sheets.
	ClassFetch Class = "fetch"
)

// Prefix is one of the shared prefixes at the start of a prompt. Requests list them in
// order, outermost first.
type Prefix struct {
	// ID identifies the content of the prefix: equal IDs mean equal tokens.
	ID string `json:"id"`
	// Tokens is the length of the prefix in tokens.
	Tokens int `json:"tokens"`
}

// WhereRequest asks which gateway a request should be sent to.
type WhereRequest struct {
	RequestID  string   `json:"request_id"`
	Tenant     string   `json:"tenant,omitempty"`
	Model      string   `json:"model"`
	Prefixes   []Prefix `json:"prefixes,omitempty"`
	Home       string   `json:"home,omitempty"`   // name of a home rule in the configuration
	Client     string   `json:"client,omitempty"` // client group, mapped to a region by the configuration
	WaitMS     int64    `json:"wait_ms,omitempty"`
	Repeatable bool     `json:"repeatable"`
}

// WhereAnswer names the gateway that owns the request, to which the caller should send it.
type WhereAnswer struct {
	RequestID string `json:"request_id"`
	// Ticket is opaque, authenticated and valid only for this request ID.
	Ticket string `json:"ticket"`
	// Gateway is the address (host:port) of the owner's caller port.
	Gateway string `json:"gateway"`
	// Alternates are the addresses of other gateways, which forward the request to the
	// owner.
	Alternates []string `json:"alternates,omitempty"`
	Region     string   `json:"region"`
	// ExpiresInMS is the time until the ticket expires, in milliseconds.
	ExpiresInMS          int64  `json:"expires_in_ms"`
	ConfigurationVersion uint64 `json:"configuration_version"`
}

// GenerateRequest is one request for a model or a small web service.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	// Ticket is required when Repeatable is false.
	Ticket   string   `json:"ticket,omitempty"`
	Tenant   string   `json:"tenant,omitempty"`
	Model    string   `json:"model"`
	Class    Class    `json:"class,omitempty"` // empty selects the route's class
	Prefixes []Prefix `json:"prefixes,omitempty"`
	// PromptTokens is the length of the prompt after the prefixes.
	PromptTokens int `json:"prompt_tokens"`
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream,omitempty"`
	Home       string `json:"home,omitempty"`
	Client     string `json:"client,omitempty"`
	WaitMS     int64  `json:"wait_ms,omitempty"`
	Repeatable bool   `json:"repeatable"`
}

// GenerateAnswer is a complete answer, from a replica to a gateway or from a gateway to a
// caller.
type GenerateAnswer struct {
	RequestID string `json:"request_id"`
	// RunID identifies the single run, on one replica, that generated the answer.
	RunID string `json:"run_id"`
	// Tokens is the number of generated tokens.
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// CachedTokens is the number of prompt tokens found in the replica's KV cache.
	CachedTokens int `json:"cached_tokens"`
	// Replica, Region and ConfigurationVersion are set by the gateway.
	Replica              string `json:"replica,omitempty"`
	Region               string `json:"region,omitempty"`
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	// Report is the replica's report of its own state. The gateway removes it from the
	// answer to the caller.
	Report *ReplicaReport `json:"report,omitempty"`
}

// Names of server-sent events in a stream.
const (
	EventChunk = "piece" // StreamChunk
	EventEnd   = "end"   // StreamEnd; sent only if the replica has sent it
	EventError = "error" // Error; the connection is then aborted, never closed cleanly
)

// StreamChunk is the data of a chunk event of a stream. Sequence starts at 1 and
// increases by 1.
type StreamChunk struct {
	RequestID string `json:"request_id"`
	RunID     string `json:"run_id"`
	Sequence  int    `json:"sequence"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

// StreamEnd is the data of the event that ends a complete stream. Sequence is that of
// the last chunk plus 1.
type StreamEnd struct {
	RequestID    string `json:"request_id"`
	RunID        string `json:"run_id"`
	Sequence     int    `json:"sequence"`
	Tokens       int    `json:"tokens"`
	CachedTokens int    `json:"cached_tokens"`
	// Replica, Region and ConfigurationVersion are set by the gateway.
	Replica              string         `json:"replica,omitempty"`
	Region               string         `json:"region,omitempty"`
	ConfigurationVersion uint64         `json:"configuration_version,omitempty"`
	Report               *ReplicaReport `json:"report,omitempty"`
}
