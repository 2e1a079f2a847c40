package registry

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// Errors of creating and updating a table.
var (
	// ErrSOA means that the SOA data or the list of members of a new table is invalid.
	ErrSOA = errors.New("registry: invalid SOA")
	// ErrTableFull is the Result.Reason of ServFail for an update that would leave more
	// than MaxTableRecords records in the table.
	ErrTableFull = errors.New("registry: table is full")
	// ErrSecondary is the Result.Reason of Refused at a secondary: the update must be
	// forwarded to the primary (section 6).
	ErrSecondary = errors.New("registry: replica is a secondary, forward the update to the primary")
)

// Policy checks whether the requestor has permission for the update (section 3.3). If it
// returns an error, the update is refused. It must return the same on every replica.
type Policy func(*Update) error

// PersistFunc writes a change to stable storage before it becomes visible (section 3.5).
// If it returns an error, the update is rolled back and answered with ServFail.
type PersistFunc func(Result, Transfer) error

// Table is a replica of one registry, called a zone in the draft. It is safe for
// concurrent use. Updates are applied one at a time; views never wait for them.
type Table struct {
	schema     *Schema
	apex       Name
	secondary  bool
	maxRecords int

	mutex   sync.Mutex // guards journal and serializes changes
	journal journal
	current atomic.Pointer[tableState]
}

// New returns a primary replica of a new table at apex, with its SOA record and an NS
// record for each member. There must be at least one member, and the serial must not be
// zero.
func New(apex Name, schema *Schema, soa SOA, members []string) (*Table, error) {
	apex, err := canonicalName(apex)
	if err != nil {
		return nil, err
	}
	if soa.Serial == 0 {
		return nil, fmt.Errorf("%w: serial is zero", ErrSOA)
	}
	if len(members) == 0 {
		return nil, fmt.Errorf("%w: no members", ErrSOA)
	}
	table := newTable(apex, schema)
	tx := &transaction{apex: apex, schema: schema, tree: newTree()}
	tx.putSOA(apex.key(), soa, 0)
	for _, member := range members {
		tx.add(NSRecord(apex, member))
	}
	table.current.Store(tx.state())
	return table, nil
}

// NewSecondary returns an empty secondary replica, which receives its records by
// ApplyTransfer.
func NewSecondary(apex Name, schema *Schema) *Table {
	if canonical, err := canonicalName(apex); err == nil {
		apex = canonical
	}
	table := newTable(apex, schema)
	table.secondary = true
	table.current.Store(&tableState{apex: apex, tree: newTree()})
	return table
}

func newTable(apex Name, schema *Schema) *Table {
	return &Table{schema: schema, apex: apex, maxRecords: MaxTableRecords}
}

// Serial returns the serial of the newest applied change, or 0 for an empty secondary.
func (t *Table) Serial() uint32 { return t.View().Serial() }

// SOA returns the data of the SOA record, or the zero SOA for an empty secondary.
func (t *Table) SOA() SOA { return t.View().SOA() }

// View returns a snapshot of the table at its newest serial.
func (t *Table) View() View { return View{state: t.current.Load()} }

// Apply processes one update by all steps of section 3. It takes effect entirely or not
// at all, and the result is the same on every replica in the same state.
func (t *Table) Apply(update *Update, policy Policy) Result {
	return t.ApplyAndPersist(update, policy, nil)
}

// ApplyAndPersist is like Apply, but calls persist to write the change to stable storage
// before it becomes visible. persist is not called for an update that changes nothing.
func (t *Table) ApplyAndPersist(update *Update, policy Policy, persist PersistFunc) Result {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.current.Load()
	result := t.check(state, update, policy)
	if result.Code != NoError {
		result.Serial = state.soa.Serial
		return result
	}
	return t.commit(state, update, persist)
}

// check performs the steps that precede the first change (sections 3.1 to 3.4.1), and
// returns the first error.
func (t *Table) check(state *tableState, update *Update, policy Policy) Result {
	if err := update.checkLimits(); err != nil {
		return Result{Code: FormErr, FailedIndex: noFailedRecord, Reason: err}
	}
	if result := t.checkTableSection(update.Tables); result.Code != NoError {
		return result
	}
	if result := checkPrerequisites(state, update.Prerequisites); result.Code != NoError {
		return result
	}
	if policy != nil {
		if err := policy(update); err != nil {
			return Result{Code: Refused, FailedIndex: noFailedRecord, Section: SectionPermission, Reason: err}
		}
	}
	return prescan(t.apex, t.schema, update.Changes)
}

// checkTableSection implements section 3.1.
func (t *Table) checkTableSection(entries []TableEntry) Result {
	if len(entries) != 1 {
		return Result{Code: FormErr, FailedIndex: noFailedRecord, Section: SectionTable}
	}
	failed := Result{FailedIndex: 0, Section: SectionTable}
	name, err := canonicalName(entries[0].Name)
	switch {
	case entries[0].Type != TypeSOA:
		failed.Code = FormErr
	case err != nil:
		failed.Code, failed.Reason = FormErr, err
	case name != t.apex || entries[0].Class != ClassTable:
		failed.Code = NotAuth
	case t.secondary:
		failed.Code, failed.Reason = Refused, ErrSecondary
	default:
		return Result{FailedIndex: noFailedRecord}
	}
	return failed
}

// begin returns a transaction on a clone of the state.
func (t *Table) begin(state *tableState) transaction {
	return transaction{apex: t.apex, soa: state.soa, schema: t.schema, tree: state.tree.Clone(), count: state.count}
}

// commit applies the changes in order to a clone of the state, persists them and then
// publishes the clone (sections 3.4.2 to 3.7). A change that was published before it is
// persisted could be read and then lost.
func (t *Table) commit(state *tableState, update *Update, persist PersistFunc) Result {
	tx := t.begin(state)
	for _, change := range update.Changes {
		change.Name, _ = canonicalName(change.Name) // the prescan has checked the name
		tx.apply(change)
	}
	serial := state.soa.Serial
	removed, added := tx.changes.net()
	if len(removed) == 0 && len(added) == 0 {
		return Result{Serial: serial, FailedIndex: noFailedRecord}
	}
	if tx.count > t.maxRecords {
		return rolledBack(serial, ErrTableFull)
	}
	tx.raiseSerial(serial)
	removed, added = tx.changes.net()
	transfer := Transfer{From: serial, To: tx.soa.Serial, Removed: removed, Added: added}
	result := Result{Serial: tx.soa.Serial, Changed: true, FailedIndex: noFailedRecord}
	if persist != nil {
		if err := persist(result, transfer); err != nil {
			return rolledBack(serial, err)
		}
	}
	t.journal.append(transfer)
	t.current.Store(tx.state())
	return result
}

// rolledBack returns the result of an update that passed every check but could not be
// committed.
func rolledBack(serial uint32, reason error) Result {
	return Result{Code: ServFail, Serial: serial, FailedIndex: noFailedRecord, Section: SectionChange, Reason: reason}
}
