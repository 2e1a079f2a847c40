package checker

// The constants below are the values in event logs that the checker interprets. Stored
// logs contain them, so they must not change.

// Details of operations.
const (
	DetailConfiguration = "configuration"
	DetailEvacuate      = "evacuate"
	DetailWithdraw      = "withdraw"
)

// Details of zones and of draining replicas.
const (
	DetailEvacuated = "evacuated"
	DetailWithdrawn = "withdrawn"
)

// Details of the end of an execution or of an answer.
const (
	// DetailComplete is a complete answer.
	DetailComplete = "whole"
	// DetailLate is a complete answer after a pause.
	DetailLate = "late"
	// DetailStall is a complete stream with a pause in it.
	DetailStall = "stall"
	// DetailCleanEnd is what a caller logs if a stream was closed cleanly after an error
	// event.
	DetailCleanEnd = "a clean end after an error event"
)

// Details of faults and of their ends.
const (
	FaultKill   = "kill"
	FaultFreeze = "freeze"
	FaultThaw   = "thaw"
	FaultWipe   = "wipe"
	FaultStart  = "start"
	FaultCut    = "cut"
	FaultHeal   = "heal"
	FaultCrowd  = "crowd"
	FaultCalm   = "calm"
	// FaultRepaired ends a failure with a lost disk or machine: the control nodes report
	// that the replacement member has received the whole state.
	FaultRepaired = "repaired"
)

// Classes of the targets of faults.
const (
	TargetControl  = "control"
	TargetControls = "controls"
	TargetGateway  = "gateway"
	TargetFleet    = "fleet"
	TargetZone     = "zone"
	TargetRegion   = "region"
	TargetReplica  = "replica"
	TargetLoad     = "load"
)

// OutcomeUnreachable is an outcome that callers set themselves: they could reach no
// gateway.
const OutcomeUnreachable = "unreachable"

// Outcomes of operations.
const (
	OperationAccepted = "accepted"
	OperationRefused  = "refused"
	OperationUnknown  = "unknown"
)
