package registry

import "fmt"

// snapshotFormat is raised when the encoding of snapshots changes.
const snapshotFormat = 1

type snapshot struct {
	Format  int      `cbor:"1,keyasint"`
	Apex    Name     `cbor:"2,keyasint"`
	Records []Record `cbor:"3,keyasint"`
}

// Snapshot returns the encoding of the whole table. Equal tables encode equally.
func (t *Table) Snapshot() ([]byte, error) {
	now := t.current.Load()
	data := encode(snapshot{Format: snapshotFormat, Apex: now.apex, Records: allRecords(now)})
	if len(data) > MaxTransferBytes {
		return nil, &LimitError{What: "octets of snapshot", Got: len(data), Limit: MaxTransferBytes}
	}
	return data, nil
}

// Restore returns a primary copy with the content of a snapshot. Its journal is
// empty, so every secondary first takes a full transfer or holds the same serial.
func Restore(schema *Schema, data []byte) (*Table, error) {
	var saved snapshot
	if err := decode(data, MaxTransferBytes, "snapshot", &saved); err != nil {
		return nil, err
	}
	if saved.Format != snapshotFormat {
		return nil, fmt.Errorf("%w: snapshot format %d, want %d", ErrMalformed, saved.Format, snapshotFormat)
	}
	apex, err := canonicalName(saved.Apex)
	if err != nil || apex != saved.Apex {
		return nil, fmt.Errorf("%w: apex %q of snapshot", ErrMalformed, saved.Apex)
	}
	table := NewSecondary(apex, schema)
	serial, err := soaSerial(apex, saved.Records)
	if err != nil {
		return nil, err
	}
	if err := table.ApplyTransfer(Transfer{Full: true, To: serial, Added: saved.Records}); err != nil {
		return nil, fmt.Errorf("restoring snapshot: %w", err)
	}
	table.secondary = false
	return table, nil
}

func soaSerial(apex Name, records []Record) (uint32, error) {
	for _, record := range records {
		if record.Name == apex && record.Type == TypeSOA {
			head, err := decodeSOA(record.Data)
			return head.Serial, err
		}
	}
	return 0, fmt.Errorf("%w: no head record", ErrTransfer)
}
