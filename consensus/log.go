package consensus

import "math"

const (
	// entryOverheadBytes is the size of an entry without its data, as counted against
	// Config.MaxAppendBytes.
	entryOverheadBytes = 24
	// unlimitedBytes makes slice return everything.
	unlimitedBytes = math.MaxInt
)

// replicatedLog is the part of the log that is kept in memory, with the newest
// snapshot. Invariants:
//   - entries are contiguous and begin right after boundaryIndex
//   - terms never fall along the log
//   - stable <= lastIndex(); entries up to stable are on this member's disk
//   - boundaryIndex <= snapshot.Index <= lastIndex()
type replicatedLog struct {
	snapshot Snapshot
	// boundaryIndex is the index before the first of entries, boundaryTerm its term,
	// which is needed to check an append that begins there.
	boundaryIndex uint64
	boundaryTerm  uint64
	entries       []Entry
	stable        uint64
}

// newLog restores a log from a disk. The entries may begin before the snapshot; since
// the term before the first of them is unknown, that one only serves as the boundary.
// It returns ErrInvalidConfig if there are gaps.
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

// contiguous reports whether the indexes have no gap and the terms never fall.
func contiguous(entries []Entry) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 || entries[i].Term < entries[i-1].Term {
			return false
		}
	}
	return true
}

func (log *replicatedLog) lastIndex() uint64 {
	return log.boundaryIndex + uint64(len(log.entries))
}

func (log *replicatedLog) lastTerm() uint64 {
	term, _ := log.term(log.lastIndex())
	return term
}

// term returns the term of the entry at an index, and false if that is compacted or
// beyond the end.
func (log *replicatedLog) term(index uint64) (uint64, bool) {
	if index == log.snapshot.Index {
		return log.snapshot.Term, true
	}
	if index == log.boundaryIndex {
		return log.boundaryTerm, true
	}
	if index < log.boundaryIndex || index > log.lastIndex() {
		return 0, false
	}
	return log.entries[index-log.boundaryIndex-1].Term, true
}

// matches reports whether the log has an entry of this index and term. By the log
// matching property (Raft, section 5.3) it then agrees with any other log that has
// it, up to this index.
func (log *replicatedLog) matches(index, term uint64) bool {
	localTerm, known := log.term(index)
	return known && localTerm == term
}

// isUpToDate reports whether a log that ends with (index, term) is at least as
// up-to-date as this one (Raft, section 5.4.1).
func (log *replicatedLog) isUpToDate(index, term uint64) bool {
	if term != log.lastTerm() {
		return term > log.lastTerm()
	}
	return index >= log.lastIndex()
}

// slice returns the entries of [from, to] that fit into maxBytes, at least one; nil
// if the log does not have the whole range. The entries are copies, so a truncation
// does not change them; their data is shared and never written.
func (log *replicatedLog) slice(from, to uint64, maxBytes int) []Entry {
	if from <= log.boundaryIndex || to > log.lastIndex() || from > to {
		return nil
	}
	window := log.entries[from-log.boundaryIndex-1 : to-log.boundaryIndex]
	size := 0
	count := 0
	for _, entry := range window {
		size += len(entry.Data) + entryOverheadBytes
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

// truncate removes the entries from index on.
func (log *replicatedLog) truncate(index uint64) {
	kept := index - log.boundaryIndex - 1
	log.entries = append([]Entry(nil), log.entries[:kept]...)
	log.stable = min(log.stable, index-1)
}

// unstable returns the entries that are not on the disk yet.
func (log *replicatedLog) unstable() []Entry {
	return log.slice(log.stable+1, log.lastIndex(), unlimitedBytes)
}

// stableTo records that the log up to (index, term) is on the disk. If the entry was
// overwritten since it was handed out for writing, nothing changes: what replaced it
// is still to be written.
func (log *replicatedLog) stableTo(index, term uint64) {
	if index > log.stable && log.matches(index, term) {
		log.stable = index
	}
}

// restore replaces the log by a snapshot.
func (log *replicatedLog) restore(snapshot Snapshot) {
	log.snapshot = snapshot
	log.boundaryIndex = snapshot.Index
	log.boundaryTerm = snapshot.Term
	log.entries = nil
	log.stable = snapshot.Index
}

// compact replaces the snapshot by a newer one of the applied state, and drops the
// entries up to and including boundary.
func (log *replicatedLog) compact(snapshot Snapshot, boundary uint64) {
	term, known := log.term(boundary)
	log.snapshot = snapshot
	if !known || boundary <= log.boundaryIndex {
		return
	}
	// A copy, so that the array of the dropped entries is released.
	log.entries = append([]Entry(nil), log.entries[boundary-log.boundaryIndex:]...)
	log.boundaryIndex = boundary
	log.boundaryTerm = term
}

// findConflictByTerm returns the highest index, at most the given one, whose term is
// not above the given one; the boundary's if there is none. What lies beyond it cannot
// match a log that has this term there, so that one rejection skips whole terms (Raft,
// end of section 5.3).
func (log *replicatedLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, log.lastIndex())
	for index > log.boundaryIndex {
		localTerm, known := log.term(index)
		if !known || localTerm <= term {
			return index
		}
		index--
	}
	return index
}
