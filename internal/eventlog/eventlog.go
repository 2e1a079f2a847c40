// Package eventlog defines the event logs that stand-in replicas, callers and
// operators write and that the checker reads: JSON lines with timestamps of the
// machine's monotonic clock (CLOCK_MONOTONIC), which are comparable between the
// processes of one machine. The daemons neither write nor read these logs.
package eventlog

// Kind is the kind of an event.
type Kind string

// Kinds of events written by replicas. The comment of each kind lists the main fields of
// Event that it sets besides At, Kind and Source.
const (
	// ReplicaStarted reports that the process is up. Sets Incarnation.
	ReplicaStarted Kind = "replica_started"
	// ReplicaReceived reports the arrival of a request. Sets Request and the fields
	// of the request's stamp: Gateway, Incarnation, Version, Serial, Attempt.
	ReplicaReceived Kind = "replica_received"
	// ReplicaExecuted reports that an execution began. The at-most-once check counts
	// these events. Sets Request and Run.
	ReplicaExecuted Kind = "replica_executed"
	// ReplicaRefused reports that the replica refused a request without executing it.
	// Sets Code.
	ReplicaRefused Kind = "replica_refused"
	// ReplicaEnded reports the end of an execution. Sets Detail to the way it ended:
	// whole, broken, canceled, late and so on.
	ReplicaEnded Kind = "replica_ended"
	// ReplicaDraining reports that the replica starts draining.
	ReplicaDraining Kind = "replica_draining"
	// ReplicaWarm reports that a cold replica has warmed up.
	ReplicaWarm Kind = "replica_warm"
	// ReplicaFault reports that an injected fault took effect. Sets Detail.
	ReplicaFault Kind = "replica_fault"
)

// Kinds of events written by callers.
const (
	// CallerRouted reports the answer to a query for the gateway to use. Sets Version,
	// Gateway (which answered) and Target (the gateway to send the request to).
	CallerRouted Kind = "caller_asked"
	// CallerSent reports that a request was sent. Sets Request, Attempt, Gateway,
	// Home, Repeatable.
	CallerSent Kind = "caller_sent"
	// CallerChunk reports a received stream chunk. Sets Run, Sequence.
	CallerChunk Kind = "caller_piece"
	// CallerAnswered reports the final answer. Sets Outcome, Code, Run, Tokens,
	// FirstTokenMS, ElapsedMS.
	CallerAnswered Kind = "caller_answered"
	// CallerAbandoned reports that the caller closed the connection early.
	CallerAbandoned Kind = "caller_abandoned"
)

// Kinds of events written by operators, the platform and the fleet tool.
const (
	// OperationSent reports that an operation was sent. Sets Operation, Base, Zone, and
	// Detail: configuration, evacuate or withdraw.
	OperationSent Kind = "order_sent"
	// OperationAnswered reports the answer to an operation. Sets Operation, Version, Serial,
	// Code, and Outcome: accepted, refused or unknown.
	OperationAnswered Kind = "order_answered"
	// PlatformDrain reports that the platform listed a replica as draining and that
	// this was acknowledged. Sets Replica.
	PlatformDrain Kind = "platform_drain"
	// FaultInjected reports an injected fault or its end. Sets Target, and Detail: kill, freeze,
	// thaw, wipe, start, cut, heal, evacuate and so on.
	FaultInjected Kind = "fault_injected"
	// FleetReady reports that all processes of the fleet are ready.
	FleetReady Kind = "fleet_ready"
	// Note is a remark for readers of the log. Sets Detail. No check uses it.
	Note Kind = "note"
)

// Kinds of events about the control plane's state and the members of the fleet.
const (
	// ConfigurationRead reports a configuration read from a control node. Sets
	// Version, Serial, Target (digest of the document), Gateway (the node's address).
	ConfigurationRead Kind = "configuration_read"
	// ZonesRead reports a zone's state read from a control node. Sets Zone, Gateway
	// (the node's address), and Detail: evacuated or open.
	ZonesRead Kind = "zones_read"
	// Inventory describes one member of the fleet. Sets, for a replica, Replica, Zone,
	// Region and Service; for a control node, Class ("control"), Target (its name) and
	// Gateway (its operator address).
	Inventory Kind = "inventory"
)

// Event is one line of a log. Fields that do not apply to its kind are not set.
type Event struct {
	// At is the time in nanoseconds of CLOCK_MONOTONIC.
	At          int64  `json:"at"`
	Kind        Kind   `json:"kind"`
	Source      string `json:"source"` // name of the replica, caller or operator that wrote the event
	Request     string `json:"request,omitempty"`
	Run         string `json:"run,omitempty"`
	Sequence    int    `json:"sequence,omitempty"`
	Attempt     int    `json:"attempt,omitempty"`
	Replica     string `json:"replica,omitempty"`
	Region      string `json:"region,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Gateway     string `json:"gateway,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Version     uint64 `json:"version,omitempty"`
	Serial      uint32 `json:"serial,omitempty"`
	Class       string `json:"class,omitempty"`
	Service     string `json:"service,omitempty"`
	Home        string `json:"home,omitempty"`
	// HomeRegions lists the regions that the caller's home rule allows.
	HomeRegions  []string `json:"home_regions,omitempty"`
	Repeatable   bool     `json:"repeatable,omitempty"`
	Stream       bool     `json:"stream,omitempty"`
	Operation    string   `json:"order,omitempty"`
	Base         uint64   `json:"base,omitempty"`
	Outcome      string   `json:"outcome,omitempty"`
	Code         string   `json:"code,omitempty"`
	Tokens       int      `json:"tokens,omitempty"`
	CachedTokens int      `json:"cached_tokens,omitempty"`
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	Cold         bool     `json:"cold,omitempty"`
	InFlight     int      `json:"in_flight,omitempty"` // on the replica, including this request
	FirstTokenMS float64  `json:"first_token_ms,omitempty"`
	ElapsedMS    float64  `json:"elapsed_ms,omitempty"`
	MaxGapMS     float64  `json:"max_gap_ms,omitempty"` // longest gap between two chunks
	Target       string   `json:"target,omitempty"`
	Detail       string   `json:"detail,omitempty"`
}
