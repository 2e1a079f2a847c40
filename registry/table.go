package registry

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// Errors of making and keeping a table.
var (
	ErrSOA       = errors.New("registry: invalid head")
	ErrTableFull = errors.New("registry: table is full")
	// ErrSecondary is the reason why Apply refuses on a secondary copy: the
	// update must be forwarded (section 6).
	ErrSecondary = errors.New("registry: secondary copy, forward the update")
)

// Sections of an update, as in Result.Section.
const (
	SectionTable        = "table"
	SectionPrerequisite = "prerequisite"
	SectionPermission   = "permission"
	SectionChange       = "change"
)

// Policy judges whether the requestor may make the update (section 3.3). An
// error refuses it. It must decide the same on every copy.
type Policy func(*Update) error

// PersistFunc makes a change stable before it becomes visible (section 3.5). An error
// undoes the update, which then answers ServFail.
type PersistFunc func(Result, Transfer) error

// Table is one registry: the source's zone. One update is applied at a time;
// views may be taken and read by any goroutine.
type Table struct {
	schema     *Schema
	apex       Name
	secondary  bool
	maxRecords int

	mutex   sync.Mutex // held while a change is made and while the journal is read
	journal journal
	current atomic.Pointer[content]
}

// New returns a primary copy of an empty table at apex, with its head and its
// member records. There must be a member, and head.Serial must not be zero.
func New(apex Name, schema *Schema, head SOA, members []string) (*Table, error) {
	apex, err := canonicalName(apex)
	if err != nil {
		return nil, err
	}
	if head.Serial == 0 {
		return nil, fmt.Errorf("%w: serial is zero", ErrSOA)
	}
	if len(members) == 0 {
		return nil, fmt.Errorf("%w: no member", ErrSOA)
	}
	table := newTable(apex, schema)
	work := &edit{apex: apex, schema: schema, tree: newTree()}
	work.head = head
	work.put(apex.key(), SOARecord(apex, head))
	for _, member := range members {
		work.add(NSRecord(apex, member))
	}
	table.current.Store(work.content())
	return table, nil
}

// NewSecondary returns an empty secondary copy, to be filled by ApplyTransfer.
func NewSecondary(apex Name, schema *Schema) *Table {
	if canonical, err := canonicalName(apex); err == nil {
		apex = canonical
	}
	table := newTable(apex, schema)
	table.secondary = true
	table.current.Store(&content{apex: apex, tree: newTree()})
	return table
}

func newTable(apex Name, schema *Schema) *Table {
	return &Table{schema: schema, apex: apex, maxRecords: MaxTableRecords}
}

// Serial returns the serial of the newest applied change, zero for an empty secondary.
func (t *Table) Serial() uint32 { return t.View().Serial() }

// SOA returns the data of the head record.
func (t *Table) SOA() SOA { return t.View().SOA() }

// View returns the table as it is now.
func (t *Table) View() View { return View{content: t.current.Load()} }

// Apply processes one update through all the steps of section 3: all of it takes
// effect or none, and the result is the same on every copy with the same content.
func (t *Table) Apply(update *Update, policy Policy) Result {
	return t.ApplyAndPersist(update, policy, nil)
}

// ApplyAndPersist is Apply with a step that makes the change stable before it
// becomes visible. The store is not called for an update that changes nothing.
func (t *Table) ApplyAndPersist(update *Update, policy Policy, store PersistFunc) Result {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.current.Load()
	result := t.evaluate(now, update, policy)
	if result.Code != NoError {
		result.Serial = now.head.Serial
		return result
	}
	return t.commit(now, update, store)
}

// evaluate does everything that may answer an error before the first change.
func (t *Table) evaluate(now *content, update *Update, policy Policy) Result {
	if err := update.checkLimits(); err != nil {
		return Result{Code: FormErr, FailedIndex: -1, Reason: err}
	}
	if result := t.checkTableSection(update.Tables); result.Code != NoError {
		return result
	}
	if result := checkPrerequisites(now, update.Prerequisites); result.Code != NoError {
		return result
	}
	if policy != nil {
		if err := policy(update); err != nil {
			return Result{Code: Refused, FailedIndex: -1, Section: SectionPermission, Reason: err}
		}
	}
	return prescan(t.apex, t.schema, update.Changes)
}

// checkTableSection is section 3.1.
func (t *Table) checkTableSection(entries []TableEntry) Result {
	if len(entries) != 1 {
		return Result{Code: FormErr, FailedIndex: -1, Section: SectionTable}
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
		return Result{FailedIndex: -1}
	}
	return failed
}

// commit applies the changes in order to a clone and publishes it (3.4.2 to 3.7).
func (t *Table) commit(now *content, update *Update, store PersistFunc) Result {
	work := &edit{apex: t.apex, head: now.head, schema: t.schema, tree: now.tree.Clone(), count: now.count}
	for _, change := range update.Changes {
		change.Name, _ = canonicalName(change.Name) // the prescan has checked it
		work.apply(change)
	}
	removed, added := work.changed.net()
	if len(removed) == 0 && len(added) == 0 {
		return Result{Serial: now.head.Serial, FailedIndex: -1}
	}
	if work.count > t.maxRecords {
		return Result{Code: ServFail, Serial: now.head.Serial, FailedIndex: -1, Section: SectionChange, Reason: ErrTableFull}
	}
	work.raiseSerial(now.head.Serial)
	removed, added = work.changed.net()
	transfer := Transfer{From: now.head.Serial, To: work.head.Serial, Removed: removed, Added: added}
	result := Result{Serial: work.head.Serial, Changed: true, FailedIndex: -1}
	if store != nil {
		if err := store(result, transfer); err != nil {
			return Result{Code: ServFail, Serial: now.head.Serial, FailedIndex: -1, Section: SectionChange, Reason: err}
		}
	}
	t.journal.append(transfer)
	t.current.Store(work.content())
	return result
}

// content closes the edit.
func (e *edit) content() *content {
	return &content{apex: e.apex, head: e.head, tree: e.tree, count: e.count}
}
