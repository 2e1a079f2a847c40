package registry

import (
	"errors"
	"fmt"
)

// Bounds of the journal. A secondary that is further behind takes a full transfer.
const (
	MaxJournalUpdates = 4096
	MaxJournalRecords = 1 << 17
	MaxJournalBytes   = 32 << 20 // octets of record data
)

// Errors of ApplyTransfer.
var (
	// ErrGap means that the transfer does not start at the secondary's serial.
	ErrGap = errors.New("registry: transfer does not start at the held serial")
	// ErrNotNewer means that the transfer does not lead to a higher serial. A
	// secondary that the serial has left half the circle behind gets it too: it
	// must start again as an empty one.
	ErrNotNewer = errors.New("registry: transfer is not newer than the held serial")
	// ErrTransfer means that the transfer contradicts itself or the table.
	ErrTransfer = errors.New("registry: inconsistent transfer")
)

// journal keeps the newest changes for incremental transfers, oldest first.
type journal struct {
	entries []Transfer
	records int
	bytes   int
}

func (j *journal) append(entry Transfer) {
	j.entries = append(j.entries, entry)
	records, size := weight(entry)
	j.records += records
	j.bytes += size
	for len(j.entries) > 0 && (len(j.entries) > MaxJournalUpdates || j.records > MaxJournalRecords || j.bytes > MaxJournalBytes) {
		records, size = weight(j.entries[0])
		j.records -= records
		j.bytes -= size
		j.entries[0] = Transfer{}
		j.entries = j.entries[1:]
	}
}

func weight(entry Transfer) (records, size int) {
	for _, section := range [][]Record{entry.Removed, entry.Added} {
		records += len(section)
		for i := range section {
			size += len(section[i].Data)
		}
	}
	return records, size
}

// since returns the entries that lead on from a serial.
func (j *journal) since(from uint32) ([]Transfer, bool) {
	for i := len(j.entries) - 1; i >= 0; i-- {
		if j.entries[i].From == from {
			return j.entries[i:], true
		}
	}
	return nil, false
}

// TransferSince returns what a secondary that holds the serial from needs to reach
// this table: an incremental transfer while the journal reaches back, else a full one.
func (t *Table) TransferSince(from uint32) Transfer {
	t.mutex.Lock()
	now := t.current.Load()
	entries, reached := t.journal.since(from)
	entries = append([]Transfer(nil), entries...)
	t.mutex.Unlock()
	if from == now.head.Serial && from != 0 {
		return Transfer{From: from, To: from}
	}
	if !reached {
		return fullTransfer(now)
	}
	return merge(entries)
}

func fullTransfer(now *content) Transfer {
	return Transfer{Full: true, To: now.head.Serial, Added: allRecords(now)}
}

func allRecords(now *content) []Record {
	records := make([]Record, 0, now.count)
	now.tree.Ascend(func(set recordSet) bool {
		records = append(records, set.records...)
		return true
	})
	return records
}

// merge returns the net difference of consecutive changes.
func merge(entries []Transfer) Transfer {
	var changed changeLog
	for _, entry := range entries {
		for _, record := range entry.Removed {
			changed.removed(record)
		}
		for _, record := range entry.Added {
			changed.added(record)
		}
	}
	removed, added := changed.net()
	return Transfer{From: entries[0].From, To: entries[len(entries)-1].To, Removed: removed, Added: added}
}

// ApplyTransfer brings a secondary to the transfer's serial, entirely or not at
// all. A transfer to the held serial that changes nothing is accepted.
func (t *Table) ApplyTransfer(transfer Transfer) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.current.Load()
	held := now.head.Serial
	if transfer.To == held && held != 0 && (transfer.Full || transfer.From == held) {
		return nil
	}
	if held != 0 && !SerialLess(held, transfer.To) {
		return fmt.Errorf("%w: held %d, transfer to %d", ErrNotNewer, held, transfer.To)
	}
	next, err := t.transferred(now, transfer)
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

// transferred returns the content that the transfer leads to.
func (t *Table) transferred(now *content, transfer Transfer) (*content, error) {
	work := &edit{apex: t.apex, head: now.head, schema: t.schema}
	if transfer.Full {
		if len(transfer.Removed) != 0 {
			return nil, fmt.Errorf("%w: full, with removed records", ErrTransfer)
		}
		work.tree = newTree()
	} else {
		if transfer.From != now.head.Serial || transfer.From == 0 {
			return nil, fmt.Errorf("%w: held %d, transfer from %d", ErrGap, now.head.Serial, transfer.From)
		}
		work.tree, work.count = now.tree.Clone(), now.count
	}
	if err := work.transfer(transfer); err != nil {
		return nil, err
	}
	if work.count > t.maxRecords {
		return nil, &LimitError{What: "records of table", Got: work.count, Limit: t.maxRecords}
	}
	if err := work.checkTransferred(transfer.To); err != nil {
		return nil, err
	}
	return work.content(), nil
}

// transfer removes, then adds, exactly what is listed: the rules of adding have
// been applied by the primary.
func (e *edit) transfer(transfer Transfer) error {
	for _, record := range transfer.Removed {
		if err := e.checkForeign(record); err != nil {
			return err
		}
		before := e.count
		e.remove(record.Name.key(), record.Type, func(existing Record) bool { return sameRecord(existing, record) })
		if e.count != before-1 {
			return fmt.Errorf("%w: removed record of %s is absent", ErrTransfer, record.Name)
		}
	}
	for _, record := range transfer.Added {
		if err := e.checkForeign(record); err != nil {
			return err
		}
		key := record.Name.key()
		for _, existing := range findSet(e.tree, key, record.Type).records {
			if sameRecord(existing, record) {
				return fmt.Errorf("%w: added record of %s is present", ErrTransfer, record.Name)
			}
		}
		e.insert(key, record)
	}
	return nil
}

// checkForeign checks the form of a record that another node sent.
func (e *edit) checkForeign(record Record) error {
	canonical, err := canonicalName(record.Name)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransfer, err)
	}
	if canonical != record.Name || !record.Name.In(e.apex) {
		return fmt.Errorf("%w: name %q", ErrTransfer, record.Name)
	}
	if _, known := e.schema.kinds[record.Type]; !known || record.Class != ClassTable {
		return fmt.Errorf("%w: type %d, class %s", ErrTransfer, record.Type, record.Class)
	}
	return checkRecordLimits([]Record{record})
}

// checkTransferred requires exactly one head, with the serial announced, and a member.
func (e *edit) checkTransferred(serial uint32) error {
	key := e.apex.key()
	heads := findSet(e.tree, key, TypeSOA).records
	if len(heads) != 1 {
		return fmt.Errorf("%w: %d head records", ErrTransfer, len(heads))
	}
	head, err := decodeHead(heads[0].Data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransfer, err)
	}
	if head.Serial != serial || serial == 0 {
		return fmt.Errorf("%w: head has serial %d, transfer %d", ErrTransfer, head.Serial, serial)
	}
	if len(findSet(e.tree, key, TypeNS).records) == 0 {
		return fmt.Errorf("%w: no member record", ErrTransfer)
	}
	e.head = head
	return nil
}
