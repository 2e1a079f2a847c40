package api

import "time"

// Paths of the callers' port of a gateway.
const (
	PathWhere    = "/v1/where"    // POST WhereRequest, answered by WhereAnswer
	PathRequests = "/v1/requests" // POST GenerateRequest, answered by GenerateAnswer or a stream
)

// Paths that every node serves on its callers' (gateway) or operators' (control) port.
const (
	PathLive  = "/livez"  // 200 while the process runs its loops
	PathReady = "/readyz" // 200 when the node may do its work, else 503 with an Error
)

// Limits of the callers' port. A request beyond one is answered CodeTooLarge or CodeInvalid.
const (
	MaxBodyBytes      = 1 << 20 // bytes of a request body
	MaxNameBytes      = 128     // bytes of any id or name
	MaxPrefixes       = 64      // entries of a prefix sequence
	MaxPromptTokens   = 1 << 20 // tokens of a prompt, all prefixes included
	MaxOutputTokens   = 1 << 16 // tokens to generate
	MaxWaitMS         = 600_000 // longest time a caller may wait, in milliseconds
	MaxHeaderBytes    = 16 << 10
	MaxReplicaAnswer  = 8 << 20 // bytes of a whole replica answer
	MaxStreamLine     = 64 << 10
	DefaultWaitMillis = 30_000
)

// Wait is the time that a caller who says waitMS will wait; zero or less stands
// for the default.
func Wait(waitMS int64) time.Duration {
	if waitMS <= 0 {
		waitMS = DefaultWaitMillis
	}
	return time.Duration(waitMS) * time.Millisecond
}

// Class is the latency class of a request.
type Class string

const (
	// ClassQuick is an inline question: small, latency bound.
	ClassQuick Class = "quick"
	// ClassLong is a long streamed answer.
	ClassLong Class = "long"
	// ClassFetch is a fetch from a small web service (snippets, portal sheets).
	ClassFetch Class = "fetch"
)

// Prefix is one element of the sequence of shared prompt prefixes, outermost first.
type Prefix struct {
	// ID names the prefix's content; equal ids mean equal tokens.
	ID string `json:"id"`
	// Tokens is its length in tokens.
	Tokens int `json:"tokens"`
}

// WhereRequest asks where a request should go.
type WhereRequest struct {
	RequestID  string   `json:"request_id"`
	Tenant     string   `json:"tenant,omitempty"`
	Model      string   `json:"model"`
	Prefixes   []Prefix `json:"prefixes,omitempty"`
	Home       string   `json:"home,omitempty"`   // name of a home rule of the configuration
	Client     string   `json:"client,omitempty"` // client group, mapped to a region by the configuration
	WaitMS     int64    `json:"wait_ms,omitempty"`
	Repeatable bool     `json:"repeatable"`
}

// WhereAnswer names the gateway that owns the request.
type WhereAnswer struct {
	RequestID string `json:"request_id"`
	// Ticket is opaque, authenticated and good for this request id alone.
	Ticket string `json:"ticket"`
	// Gateway is the callers' address (host:port) of the owner.
	Gateway string `json:"gateway"`
	// Alternates are gateways that pass the request to the owner.
	Alternates []string `json:"alternates,omitempty"`
	Region     string   `json:"region"`
	// ExpiresInMS is the time left to use the ticket, in milliseconds.
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
	Class    Class    `json:"class,omitempty"` // default by route
	Prefixes []Prefix `json:"prefixes,omitempty"`
	// PromptTokens is the length of the prompt after the prefixes.
	PromptTokens int `json:"prompt_tokens"`
	// MaxTokens bounds the answer.
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream,omitempty"`
	Home       string `json:"home,omitempty"`
	Client     string `json:"client,omitempty"`
	WaitMS     int64  `json:"wait_ms,omitempty"`
	Repeatable bool   `json:"repeatable"`
}

// GenerateAnswer is a whole answer, to a caller and from a replica alike.
type GenerateAnswer struct {
	RequestID string `json:"request_id"`
	// RunID names the one run on one replica that made every piece.
	RunID string `json:"run_id"`
	// Tokens is the count generated.
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// CachedTokens is the part of the prompt found in the replica's KV cache.
	CachedTokens int `json:"cached_tokens"`
	// Replica, Region and ConfigurationVersion are filled in by the gateway.
	Replica              string `json:"replica,omitempty"`
	Region               string `json:"region,omitempty"`
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	// Report piggybacks the replica's state; the gateway removes it.
	Report *ReplicaReport `json:"report,omitempty"`
}

// Names of server-sent events in a stream.
const (
	EventPiece = "piece" // StreamPiece
	EventEnd   = "end"   // StreamEnd; present only if the replica sent it
	EventError = "error" // Error; the connection is then aborted, never ended cleanly
)

// StreamChunk is one event of a stream. Sequence starts at 1 and rises by 1.
type StreamChunk struct {
	RequestID string `json:"request_id"`
	RunID     string `json:"run_id"`
	Sequence  int    `json:"sequence"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

// StreamEnd closes a stream that is whole. Sequence is that of the last piece
// plus 1.
type StreamEnd struct {
	RequestID    string `json:"request_id"`
	RunID        string `json:"run_id"`
	Sequence     int    `json:"sequence"`
	Tokens       int    `json:"tokens"`
	CachedTokens int    `json:"cached_tokens"`
	// Replica, Region and ConfigurationVersion are filled in by the gateway.
	Replica              string         `json:"replica,omitempty"`
	Region               string         `json:"region,omitempty"`
	ConfigurationVersion uint64         `json:"configuration_version,omitempty"`
	Report               *ReplicaReport `json:"report,omitempty"`
}
