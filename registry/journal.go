package registry

// Limits of the journal. A secondary that is further behind receives a full transfer.
const (
	MaxJournalUpdates = 4096
	MaxJournalRecords = 1 << 17
	MaxJournalBytes   = 32 << 20 // octets of record data
)

// journal retains the newest changes for incremental transfers, oldest first.
type journal struct {
	entries []Transfer
	records int
	bytes   int // octets of record data
}

// append adds the newest change and discards the oldest ones until the limits are met.
func (j *journal) append(entry Transfer) {
	j.entries = append(j.entries, entry)
	records, size := transferSize(entry)
	j.records += records
	j.bytes += size
	for len(j.entries) > 0 && j.exceedsLimits() {
		records, size = transferSize(j.entries[0])
		j.records -= records
		j.bytes -= size
		j.entries[0] = Transfer{} // releases the records, which the underlying array would retain
		j.entries = j.entries[1:]
	}
}

func (j *journal) exceedsLimits() bool {
	return len(j.entries) > MaxJournalUpdates || j.records > MaxJournalRecords || j.bytes > MaxJournalBytes
}

// since returns the entries after a serial, or false if the journal does not reach back
// to it.
func (j *journal) since(from uint32) ([]Transfer, bool) {
	for i := len(j.entries) - 1; i >= 0; i-- {
		if j.entries[i].From == from {
			return j.entries[i:], true
		}
	}
	return nil, false
}

// transferSize returns the number of records in a transfer and the octets of their data.
func transferSize(transfer Transfer) (records, size int) {
	for _, section := range [][]Record{transfer.Removed, transfer.Added} {
		records += len(section)
		for i := range section {
			size += len(section[i].Data)
		}
	}
	return records, size
}
