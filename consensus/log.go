package consensus

// replicatedLog is the part of the log that is kept in memory, with the newest
// snapshot. Invariants:
//   - entries are contiguous and begin right after boundaryIndex
//   - terms never fall along the log
//   - stable <= last(); entries up to stable are on this member's disk
//   - boundaryIndex <= snapshot.Index <= last()
type replicatedLog struct {
	snapshot      Snapshot
	boundaryIndex uint64
	boundaryTerm  uint64
	entries       []Entry
	stable        uint64
}

// newLog restores a log from a disk. Kept entries may begin before the
// snapshot; since the term before the first of them is unknown, that first one
// only serves as the boundary.
func newLog(snapshot Snapshot, entries []Entry) (*replicatedLog, error) {
	log := &replicatedLog{
		snapshot:      snapshot,
		boundaryIndex: snapshot.Index,
		boundaryTerm:  snapshot.Term,
	}
	log.stable = snapshot.Index
	if len(entries) == 0 {
		return log, nil
	}
	if !contiguous(entries) {
		return nil, ErrInvalidConfig
	}
	first := entries[0]
	last := entries[len(entries)-1]
	if first.Index > snapshot.Index+1 {
		return nil, ErrInvalidConfig
	}
	if last.Index < snapshot.Index {
		return log, nil
	}
	if first.Index <= snapshot.Index {
		log.boundaryIndex = first.Index
		log.boundaryTerm = first.Term
		entries = entries[1:]
	}
	log.entries = append([]Entry(nil), entries...)
	log.stable = log.last()
	return log, nil
}

func contiguous(entries []Entry) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 || entries[i].Term < entries[i-1].Term {
			return false
		}
	}
	return true
}

func (log *replicatedLog) last() uint64 {
	return log.boundaryIndex + uint64(len(log.entries))
}

func (log *replicatedLog) lastTerm() uint64 {
	term, _ := log.term(log.last())
	return term
}

// term returns the term of an index, and false when it is compacted or beyond
// the end.
func (log *replicatedLog) term(index uint64) (uint64, bool) {
	if index == log.snapshot.Index {
		return log.snapshot.Term, true
	}
	if index == log.boundaryIndex {
		return log.boundaryTerm, true
	}
	if index < log.boundaryIndex || index > log.last() {
		return 0, false
	}
	return log.entries[index-log.boundaryIndex-1].Term, true
}

// matches tells whether the log holds this index with this term.
func (log *replicatedLog) matches(index, term uint64) bool {
	own, known := log.term(index)
	return known && own == term
}

// upToDate tells whether a log that ends with (index, term) is at least as
// complete as this one (Raft, section 5.4.1).
func (log *replicatedLog) upToDate(index, term uint64) bool {
	if term != log.lastTerm() {
		return term > log.lastTerm()
	}
	return index >= log.last()
}

// slice returns entries [from, to] of at most maxBytes, at least one. The
// result is a copy of the headers; data is shared and never written.
func (log *replicatedLog) slice(from, to uint64, maxBytes int) []Entry {
	if from <= log.boundaryIndex || to > log.last() || from > to {
		return nil
	}
	window := log.entries[from-log.boundaryIndex-1 : to-log.boundaryIndex]
	size := 0
	count := 0
	for _, entry := range window {
		size += len(entry.Data) + entryOverhead
		if count > 0 && size > maxBytes {
			break
		}
		count++
	}
	return append([]Entry(nil), window[:count]...)
}

// append adds entries after the end.
func (log *replicatedLog) append(entries ...Entry) {
	log.entries = append(log.entries, entries...)
}

// truncate drops every entry from index on.
func (log *replicatedLog) truncate(index uint64) {
	kept := index - log.boundaryIndex - 1
	log.entries = append([]Entry(nil), log.entries[:kept]...)
	log.stable = min(log.stable, index-1)
}

// unstable returns what has to be written.
func (log *replicatedLog) unstable() []Entry {
	return log.slice(log.stable+1, log.last(), unlimited)
}

// stableTo notes that the disk holds the log up to (index, term). A batch that
// was overwritten in the meantime changes nothing.
func (log *replicatedLog) stableTo(index, term uint64) {
	if index > log.stable && log.matches(index, term) {
		log.stable = index
	}
}

// install replaces the whole log by a snapshot.
func (log *replicatedLog) install(snapshot Snapshot) {
	log.snapshot = snapshot
	log.boundaryIndex = snapshot.Index
	log.boundaryTerm = snapshot.Term
	log.entries = nil
	log.stable = snapshot.Index
}

// compact takes a newer snapshot of this member's own state and drops the
// entries up to index discard.
func (log *replicatedLog) compact(snapshot Snapshot, discard uint64) {
	term, known := log.term(discard)
	log.snapshot = snapshot
	if !known || discard <= log.boundaryIndex {
		return
	}
	log.entries = append([]Entry(nil), log.entries[discard-log.boundaryIndex:]...)
	log.boundaryIndex = discard
	log.boundaryTerm = term
}

// conflictHint walks back from index past every entry of a later term than
// term, so that one answer skips a whole run of entries that cannot match.
func (log *replicatedLog) conflictHint(index, term uint64) uint64 {
	index = min(index, log.last())
	for index > log.boundaryIndex {
		own, known := log.term(index)
		if !known || own <= term {
			return index
		}
		index--
	}
	return index
}
