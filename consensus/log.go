package consensus

import "math"

const (
	// entryOverheadBytes is the size of an entry without its data, as counted against
	// Config.MaxAppendBytes.
	entryOverheadBytes = 24
	// unlimitedBytes, passed to slice, disables its size limit.
	unlimitedBytes = math.MaxInt
)

// replicatedLog is the part of the log that is held in memory, and the newest
// snapshot. Invariants:
//   - entries are contiguous and begin right after boundaryIndex
//   - terms never decrease along the log
//   - stable <= lastIndex(); entries up to stable are on this member's disk
//   - boundaryIndex <= snapshot.Index <= lastIndex()
type replicatedLog struct {
	snapshot Snapshot
	// boundaryIndex is the index before the first of entries. boundaryTerm is its term,
	// which is needed to check an append that follows it.
	boundaryIndex uint64
	boundaryTerm  uint64
	entries       []Entry
	stable        uint64
}

// newLog restores a log from disk. The entries may begin before the snapshot's index;
// since the term before the first entry is unknown, that entry only serves as the
// boundary. It returns ErrInvalidConfig if the log has gaps or its terms decrease.
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
	log.stable = log.lastIndex()
	return log, nil
}

// contiguous reports whether the indexes have no gap and the terms never decrease.
func contiguous(entries []Entry) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 || entries[i].Term < entries[i-1].Term {
			return false
		}
	}
	return true
}

func (l *replicatedLog) lastIndex() uint64 {
	return l.boundaryIndex + uint64(len(l.entries))
}

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, or false if the entry is compacted or
// beyond the end of the log.
func (l *replicatedLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index == l.boundaryIndex {
		return l.boundaryTerm, true
	}
	if index < l.boundaryIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.boundaryIndex-1].Term, true
}

// matches reports whether the log has an entry with this index and term. By the log
// matching property (Raft, section 5.3), it is then identical up to this index to any
// other log that has the entry.
func (l *replicatedLog) matches(index, term uint64) bool {
	localTerm, known := l.term(index)
	return known && localTerm == term
}

// isUpToDate reports whether a log that ends with (index, term) is at least as
// up-to-date as this one (Raft, section 5.4.1).
func (l *replicatedLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns the first entries of [from, to] that fit into maxBytes, but at least
// one. It returns nil if the log does not have the whole range. The entries are copies,
// so a truncation does not change them; their data is shared and never modified.
func (l *replicatedLog) slice(from, to uint64, maxBytes int) []Entry {
	if from <= l.boundaryIndex || to > l.lastIndex() || from > to {
		return nil
	}
	window := l.entries[from-l.boundaryIndex-1 : to-l.boundaryIndex]
	size := 0
	count := 0
	for _, entry := range window {
		size += entry.Size()
		if count > 0 && size > maxBytes {
			break
		}
		count++
	}
	return append([]Entry(nil), window[:count]...)
}

// append adds entries at the end.
func (l *replicatedLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries at and after index.
func (l *replicatedLog) truncate(index uint64) {
	remaining := index - l.boundaryIndex - 1
	l.entries = append([]Entry(nil), l.entries[:remaining]...)
	l.stable = min(l.stable, index-1)
}

// unstable returns the entries that are not on the disk yet.
func (l *replicatedLog) unstable() []Entry {
	return l.slice(l.stable+1, l.lastIndex(), unlimitedBytes)
}

// stableTo records that the log up to (index, term) is on the disk. If the entry has
// been overwritten since unstable returned it, nothing changes: its replacement still
// has to be written.
func (l *replicatedLog) stableTo(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

// restore replaces the log by a snapshot.
func (l *replicatedLog) restore(snapshot Snapshot) {
	l.snapshot = snapshot
	l.boundaryIndex = snapshot.Index
	l.boundaryTerm = snapshot.Term
	l.entries = nil
	l.stable = snapshot.Index
}

// compact replaces the snapshot by a newer one, and drops the entries up to and
// including boundary.
func (l *replicatedLog) compact(snapshot Snapshot, boundary uint64) {
	term, known := l.term(boundary)
	l.snapshot = snapshot
	if !known || boundary <= l.boundaryIndex {
		return
	}
	// A copy, so that the array with the dropped entries can be garbage collected.
	l.entries = append([]Entry(nil), l.entries[boundary-l.boundaryIndex:]...)
	l.boundaryIndex = boundary
	l.boundaryTerm = term
}

// findConflictByTerm returns the highest index, at most the given one, whose term is at
// most the given one, or boundaryIndex if there is none. Entries after it have higher
// terms and cannot match a log that has the given term at the given index, so one
// rejection skips whole terms (Raft, end of section 5.3).
func (l *replicatedLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.boundaryIndex {
		localTerm, known := l.term(index)
		if !known || localTerm <= term {
			return index
		}
		index--
	}
	return index
}
