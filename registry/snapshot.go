package registry

import "fmt"

// snapshotFormat must be incremented when the encoding of snapshots changes.
const snapshotFormat = 1

// snapshot is the encoded form of a table.
type snapshot struct {
	Format  int      `cbor:"1,keyasint"`
	Apex    Name     `cbor:"2,keyasint"`
	Records []Record `cbor:"3,keyasint"`
}

// Snapshot returns the encoding of the table. Equal tables have equal encodings.
func (t *Table) Snapshot() ([]byte, error) {
	state := t.current.Load()
	return encodeWithin(MaxTransferBytes, "snapshot", snapshot{Format: snapshotFormat, Apex: state.apex, Records: allRecords(state)})
}

// Restore returns a primary replica with the content of a snapshot. Its journal is
// empty, so a secondary at another serial first receives a full transfer.
func Restore(schema *Schema, data []byte) (*Table, error) {
	saved, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	serial, err := soaSerial(saved.Apex, saved.Records)
	if err != nil {
		return nil, err
	}
	table := NewSecondary(saved.Apex, schema)
	if err := table.ApplyTransfer(Transfer{Full: true, To: serial, Added: saved.Records}); err != nil {
		return nil, fmt.Errorf("restoring snapshot: %w", err)
	}
	table.secondary = false
	return table, nil
}

// decodeSnapshot decodes a snapshot. It requires the current format and a canonical apex.
func decodeSnapshot(data []byte) (snapshot, error) {
	var saved snapshot
	if err := decode(data, MaxTransferBytes, "snapshot", &saved); err != nil {
		return snapshot{}, err
	}
	if saved.Format != snapshotFormat {
		return snapshot{}, fmt.Errorf("%w: snapshot format %d, want %d", ErrMalformed, saved.Format, snapshotFormat)
	}
	apex, err := canonicalName(saved.Apex)
	if err != nil || apex != saved.Apex {
		return snapshot{}, fmt.Errorf("%w: apex %q of snapshot is not canonical", ErrMalformed, saved.Apex)
	}
	return saved, nil
}

// soaSerial returns the serial of the SOA record at the apex.
func soaSerial(apex Name, records []Record) (uint32, error) {
	for _, record := range records {
		if record.Name == apex && record.Type == TypeSOA {
			soa, err := decodeSOA(record.Data)
			return soa.Serial, err
		}
	}
	return 0, fmt.Errorf("%w: no SOA record", ErrTransfer)
}
