package engine

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
)

// Ping returns nil once the event loop has answered.
func (e *Engine) Ping(ctx context.Context) error {
	_, err := eventqueue.Ask(ctx, e.queue, func(time.Duration) struct{} { return struct{}{} })
	return err
}

// PrimaryReport is what a primary knows beside the observation.
type PrimaryReport struct {
	// Primary is false if this node may not answer as the primary; the rest is
	// then zero.
	Primary bool
	Status  consensus.Status
	Catalog *catalog.State
	// RepairDone is true if the group is complete, and Reachable has the members
	// that have responded lately.
	RepairDone bool
	Reachable  map[consensus.ID]bool
	// Leases are those in force now, and ActiveVersions the configuration version
	// that each gateway reported active.
	Leases         []lease.HolderStatus
	ActiveVersions map[string]uint64
	// InForce is the newest serial known to be active at every lease holder; 0 if
	// unknown.
	InForce uint32
}

// PrimaryReport asks the event loop for its report.
func (e *Engine) PrimaryReport(ctx context.Context) (PrimaryReport, error) {
	return eventqueue.Ask(ctx, e.queue, e.machine.primaryReport)
}

func (m *machine) primaryReport(now time.Duration) PrimaryReport {
	leadership, serving := m.serving()
	if !serving {
		return PrimaryReport{}
	}
	status := m.driver.Group().Status()
	repair := m.repair(now, status)
	report := PrimaryReport{
		Primary:        true,
		Status:         status,
		Catalog:        m.driver.Catalog(),
		RepairDone:     repair.Done(),
		Reachable:      make(map[consensus.ID]bool, len(status.Membership.Members)),
		Leases:         leadership.leases.Holders(now),
		ActiveVersions: leadership.leases.ActiveVersions(),
		InForce:        leadership.leases.InForceSerial(),
	}
	for _, member := range status.Membership.Members {
		report.Reachable[member.ID] = repair.Reachable(member.ID)
	}
	return report
}

// ReadBarrier is what must be confirmed before a linearizable read may be answered:
// that this node was still the primary of the term at the time it was asked.
type ReadBarrier struct {
	Primary bool // false if this node may not answer as the primary
	Term    uint64
	Commit  uint64
	AskedAt time.Duration
}

// ReadBarrier returns the barrier of a read that begins now.
func (e *Engine) ReadBarrier(ctx context.Context) (ReadBarrier, error) {
	return eventqueue.Ask(ctx, e.queue, e.machine.readBarrier)
}

func (m *machine) readBarrier(now time.Duration) ReadBarrier {
	if _, serving := m.serving(); !serving {
		return ReadBarrier{}
	}
	status := m.driver.Group().Status()
	return ReadBarrier{Primary: true, Term: status.Term, Commit: status.Commit, AskedAt: now}
}

// OperationState is what the primary knows of an operation.
type OperationState struct {
	// Primary is false if this node may not answer as the primary; the rest is
	// then zero.
	Primary bool
	// Decided is true if the operation was decided: Answer is the stored answer,
	// visible since Serial.
	Decided bool
	Answer  catalog.OperationResult
	Serial  uint32
	// Catalog and Sequence are what a new decision builds on; Surplus are the answers
	// that are deleted with a new one.
	Catalog  *catalog.State
	Sequence uint64
	Surplus  []registry.Name
}

// OperationState asks the event loop about the operation with an id.
func (e *Engine) OperationState(ctx context.Context, id string) (OperationState, error) {
	return eventqueue.Ask(ctx, e.queue, func(time.Duration) OperationState {
		return e.machine.operationState(id)
	})
}

func (m *machine) operationState(id string) OperationState {
	if _, serving := m.serving(); !serving {
		return OperationState{}
	}
	answer, decided := m.driver.Catalog().OperationResult(id)
	return OperationState{
		Primary:  true,
		Decided:  decided,
		Answer:   answer,
		Serial:   m.driver.State().Operations.Serial(catalog.OperationName(id)),
		Catalog:  m.driver.Catalog(),
		Sequence: m.driver.Applied(),
		Surplus:  m.driver.State().Operations.Surplus(statemachine.OperationLimit),
	}
}
