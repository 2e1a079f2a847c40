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

// Ping returns nil once the event loop has handled an event, and so is responsive.
func (e *Engine) Ping(ctx context.Context) error {
	_, err := eventqueue.Ask(ctx, e.queue, func(time.Duration) struct{} { return struct{}{} })
	return err
}

// PrimaryReport is the state that only the primary has, such as leases and the
// reachability of members.
type PrimaryReport struct {
	// Primary is false if this node does not serve as the primary; the other fields
	// are then zero.
	Primary bool
	Status  consensus.Status
	Catalog *catalog.State
	// RepairDone is true if the group is complete; see membership.Repair.Done.
	// Reachable reports for each member whether it has responded recently.
	RepairDone bool
	Reachable  map[consensus.ID]bool
	// Leases are the current leases. ActiveVersions is the configuration version that
	// each gateway reported as active, by gateway name.
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
	status := m.driver.Consensus().Status()
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

// ReadBarrier is the condition of a linearizable read. The reader must confirm that this
// node was still the primary of Term at AskedAt, and wait until Commit is applied.
type ReadBarrier struct {
	Primary bool // false if this node does not serve as the primary
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
	status := m.driver.Consensus().Status()
	return ReadBarrier{Primary: true, Term: status.Term, Commit: status.Commit, AskedAt: now}
}

// OperationState is the primary's state of one operation.
type OperationState struct {
	// Primary is false if this node does not serve as the primary; the other fields
	// are then zero.
	Primary bool
	// Decided is true if the operation was decided before. Answer is then the stored
	// answer, and Serial the serial that made it visible.
	Decided bool
	Answer  catalog.OperationResult
	Serial  uint32
	// Catalog and Sequence are the inputs of a new decision. ExcessOperations names
	// the oldest stored answers, which must be deleted when a new one is added.
	Catalog          *catalog.State
	Sequence         uint64
	ExcessOperations []registry.Name
}

// OperationState asks the event loop for the state of the operation with an id.
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
		Primary:          true,
		Decided:          decided,
		Answer:           answer,
		Serial:           m.driver.State().Operations.Serial(catalog.OperationName(id)),
		Catalog:          m.driver.Catalog(),
		Sequence:         m.driver.Applied(),
		ExcessOperations: m.driver.State().Operations.ExcessOperations(statemachine.OperationLimit),
	}
}
