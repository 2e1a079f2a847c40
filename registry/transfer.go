package registry

import (
	"errors"
	"fmt"
)

// Errors of Table.ApplyTransfer.
var (
	// ErrGap means that an incremental transfer does not start at the secondary's serial.
	ErrGap = errors.New("registry: transfer does not start at the current serial")
	// ErrNotNewer means that the transfer's new serial is not higher than the secondary's.
	// This also happens if the secondary is 2^31 or more serials behind, since by RFC
	// 1982 the new serial is then not higher: it must start again from an empty table.
	ErrNotNewer = errors.New("registry: transfer is not newer than the current serial")
	// ErrTransfer means that the transfer contradicts itself or the table.
	ErrTransfer = errors.New("registry: inconsistent transfer")
)

// Transfer carries a table, or the difference between two of its serials, to a
// secondary (AXFR and IXFR of DNS).
type Transfer struct {
	Full bool   `cbor:"1,keyasint,omitempty"`
	From uint32 `cbor:"2,keyasint,omitempty"` // serial before the transfer; 0 if Full
	To   uint32 `cbor:"3,keyasint"`           // serial after the transfer
	// Removed and Added are applied in this order. A full transfer has no Removed.
	Removed []Record `cbor:"4,keyasint,omitempty"`
	Added   []Record `cbor:"5,keyasint,omitempty"`
}

// TransferSince returns the transfer that brings a secondary at the serial from to this
// table's current serial. It is incremental if the journal reaches back to from,
// otherwise full.
func (t *Table) TransferSince(from uint32) Transfer {
	t.mutex.Lock()
	state := t.current.Load()
	entries, found := t.journal.since(from)
	entries = append([]Transfer(nil), entries...)
	t.mutex.Unlock()
	if from == state.soa.Serial && from != 0 {
		return Transfer{From: from, To: from}
	}
	if !found {
		return fullTransfer(state)
	}
	return merge(entries)
}

func fullTransfer(state *tableState) Transfer {
	return Transfer{Full: true, To: state.soa.Serial, Added: allRecords(state)}
}

// FullTransfer returns the transfer that brings an empty secondary to the serial of the
// view. The view must not be the zero View.
func (v View) FullTransfer() Transfer { return fullTransfer(v.state) }

// allRecords returns the records in the order of the tree.
func allRecords(state *tableState) []Record {
	records := make([]Record, 0, state.count)
	state.tree.Ascend(func(set rrset) bool {
		records = append(records, set.records...)
		return true
	})
	return records
}

// merge returns the net difference of consecutive changes.
func merge(entries []Transfer) Transfer {
	var changes changeLog
	for _, entry := range entries {
		for _, record := range entry.Removed {
			changes.removed(record)
		}
		for _, record := range entry.Added {
			changes.added(record)
		}
	}
	removed, added := changes.net()
	return Transfer{From: entries[0].From, To: entries[len(entries)-1].To, Removed: removed, Added: added}
}

// ApplyTransfer brings a secondary to the transfer's serial, entirely or not at all. A
// transfer to the current serial is accepted and ignored.
func (t *Table) ApplyTransfer(transfer Transfer) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.current.Load()
	serial := state.soa.Serial
	if transfer.To == serial && serial != 0 && (transfer.Full || transfer.From == serial) {
		return nil
	}
	if serial != 0 && !SerialLess(serial, transfer.To) {
		return fmt.Errorf("%w: current serial %d, transfer to %d", ErrNotNewer, serial, transfer.To)
	}
	next, err := t.stateAfter(state, transfer)
	if err != nil {
		return err
	}
	if transfer.Full {
		t.journal = journal{}
	} else {
		t.journal.append(transfer)
	}
	t.current.Store(next)
	return nil
}

// stateAfter returns the state of the table after the transfer.
func (t *Table) stateAfter(state *tableState, transfer Transfer) (*tableState, error) {
	tx, err := t.beginTransfer(state, transfer)
	if err != nil {
		return nil, err
	}
	if err := tx.applyTransfer(transfer); err != nil {
		return nil, err
	}
	if tx.count > t.maxRecords {
		return nil, &LimitError{What: "records of table", Got: tx.count, Limit: t.maxRecords}
	}
	if err := tx.loadSOA(transfer.To); err != nil {
		return nil, err
	}
	return tx.state(), nil
}

// beginTransfer returns a transaction on an empty tree for a full transfer, on a
// clone of the current one for an incremental transfer.
func (t *Table) beginTransfer(state *tableState, transfer Transfer) (transaction, error) {
	if transfer.Full {
		if len(transfer.Removed) != 0 {
			return transaction{}, fmt.Errorf("%w: full transfer with removed records", ErrTransfer)
		}
		return transaction{apex: t.apex, soa: state.soa, schema: t.schema, tree: newTree()}, nil
	}
	if transfer.From != state.soa.Serial || transfer.From == 0 {
		return transaction{}, fmt.Errorf("%w: current serial %d, transfer from %d", ErrGap, state.soa.Serial, transfer.From)
	}
	return t.begin(state), nil
}

// applyTransfer removes and then adds exactly the listed records. It does not apply the
// rules of section 3.4.2, which the primary has already applied.
func (tx *transaction) applyTransfer(transfer Transfer) error {
	for _, record := range transfer.Removed {
		if err := tx.removeListed(record); err != nil {
			return err
		}
	}
	for _, record := range transfer.Added {
		if err := tx.addListed(record); err != nil {
			return err
		}
	}
	return nil
}

// removeListed removes a record, which must be in the table.
func (tx *transaction) removeListed(record Record) error {
	if err := tx.checkReceived(record); err != nil {
		return err
	}
	before := tx.count
	tx.remove(record.Name.key(), record.Type, func(existing Record) bool { return sameRecord(existing, record) })
	if tx.count != before-1 {
		return fmt.Errorf("%w: record to remove at %s does not exist", ErrTransfer, record.Name)
	}
	return nil
}

// addListed adds a record, which must not be in the table.
func (tx *transaction) addListed(record Record) error {
	if err := tx.checkReceived(record); err != nil {
		return err
	}
	key := record.Name.key()
	for _, existing := range findRRset(tx.tree, key, record.Type).records {
		if sameRecord(existing, record) {
			return fmt.Errorf("%w: record to add at %s already exists", ErrTransfer, record.Name)
		}
	}
	tx.insert(key, record)
	return nil
}

// checkReceived checks the form of a record received in a transfer.
func (tx *transaction) checkReceived(record Record) error {
	canonical, err := canonicalName(record.Name)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransfer, err)
	}
	if canonical != record.Name || !record.Name.In(tx.apex) {
		return fmt.Errorf("%w: name %q is outside the table or not canonical", ErrTransfer, record.Name)
	}
	if _, known := tx.schema.kinds[record.Type]; !known || record.Class != ClassTable {
		return fmt.Errorf("%w: unexpected type %d or class %s", ErrTransfer, record.Type, record.Class)
	}
	return checkRecordLimits([]Record{record})
}

// loadSOA sets the SOA data of the transaction from its SOA record after a transfer. The
// apex must have exactly one SOA record, with the transfer's serial, and an NS record.
func (tx *transaction) loadSOA(serial uint32) error {
	key := tx.apex.key()
	records := findRRset(tx.tree, key, TypeSOA).records
	if len(records) != 1 {
		return fmt.Errorf("%w: %d SOA records", ErrTransfer, len(records))
	}
	soa, err := decodeSOA(records[0].Data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransfer, err)
	}
	if soa.Serial != serial || serial == 0 {
		return fmt.Errorf("%w: SOA record has serial %d, transfer has serial %d", ErrTransfer, soa.Serial, serial)
	}
	if len(findRRset(tx.tree, key, TypeNS).records) == 0 {
		return fmt.Errorf("%w: no NS record", ErrTransfer)
	}
	tx.soa = soa
	return nil
}
