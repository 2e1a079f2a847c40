package placement

import "container/list"

const (
	// IndexEntries bounds the prefix chains remembered over all replicas of a
	// service in one gateway; each replica has an equal part.
	IndexEntries = 32 << 10
	// leastPerReplica and mostPerReplica bound a replica's part.
	leastPerReplica = 64
	mostPerReplica  = 2048
	// missPart of a replica's entries are dropped when it turns out not to hold
	// a prefix it was expected to hold: others as old have gone with it.
	missPart = 0.25
)

// Index remembers which prefix chains were sent to which replica: a bounded
// LRU for each, corrected by what replicas answer and report.
type Index struct {
	limit    int
	holders  map[uint64][]int // link hash to replicas
	replicas map[int]*sent
	cached   []int // scratch of Cached, by replica
	touched  []int
}

type sent struct {
	entries map[uint64]*list.Element
	order   *list.List // most recently sent first; values are hashes
}

// NewIndex returns an empty index. Replicas are small numbers below count,
// given by the caller.
func NewIndex(count int) *Index {
	index := &Index{
		holders:  make(map[uint64][]int),
		replicas: make(map[int]*sent),
	}
	index.SetCount(count)
	return index
}

// SetCount changes the number of replicas and with it the part of each.
func (x *Index) SetCount(count int) {
	x.limit = min(mostPerReplica, max(leastPerReplica, IndexEntries/max(1, count)))
}

// Record records that a chain was sent to a replica.
func (x *Index) Record(replica int, chain []Link) {
	record := x.record(replica)
	for position := len(chain) - 1; position >= 0; position-- {
		x.touch(record, replica, chain[position].Hash)
	}
	x.trim(record, replica)
}

// RecordHashes is Note for a chain that is known by the hashes of its links alone.
func (x *Index) RecordHashes(replica int, hashes []uint64) {
	record := x.record(replica)
	for position := len(hashes) - 1; position >= 0; position-- {
		x.touch(record, replica, hashes[position])
	}
	x.trim(record, replica)
}

// trim drops what is beyond a replica's part.
func (x *Index) trim(record *sent, replica int) {
	for record.order.Len() > x.limit {
		x.dropOldest(record, replica)
	}
}

// Cached calls visit for each replica that is believed to hold a part of the
// chain, with the tokens of the longest part.
func (x *Index) Cached(chain []Link, visit func(replica, tokens int)) {
	x.touched = x.touched[:0]
	for position := len(chain) - 1; position >= 0; position-- {
		for _, replica := range x.holders[chain[position].Hash] {
			x.grow(replica)
			if x.cached[replica] != 0 {
				continue
			}
			x.cached[replica] = chain[position].Tokens
			x.touched = append(x.touched, replica)
			visit(replica, chain[position].Tokens)
		}
	}
	for _, replica := range x.touched {
		x.cached[replica] = 0
	}
}

// Correct compares what was expected in a replica's cache with what it found.
// A miss drops the oldest part of what is believed of it.
func (x *Index) Correct(replica, expected, found int) {
	if found >= expected {
		return
	}
	record := x.record(replica)
	x.dropMany(record, replica, max(1, int(missPart*float64(record.order.Len()))))
}

// Evicted drops the oldest entries of a replica that reports evictions.
func (x *Index) Evicted(replica, count int) {
	x.dropMany(x.record(replica), replica, count)
}

// Undo takes back a chain whose request did not run.
func (x *Index) Undo(replica int, chain []Link) {
	record := x.record(replica)
	for _, link := range chain {
		x.drop(record, replica, link.Hash)
	}
}

// Forget drops everything about a replica, as when it was started anew.
func (x *Index) Forget(replica int) {
	record := x.replicas[replica]
	if record == nil {
		return
	}
	x.dropMany(record, replica, record.order.Len())
	delete(x.replicas, replica)
}

// Len counts the entries of a replica.
func (x *Index) Len(replica int) int {
	if record := x.replicas[replica]; record != nil {
		return record.order.Len()
	}
	return 0
}

func (x *Index) record(replica int) *sent {
	record := x.replicas[replica]
	if record == nil {
		record = &sent{entries: make(map[uint64]*list.Element), order: list.New()}
		x.replicas[replica] = record
	}
	return record
}

func (x *Index) grow(replica int) {
	for len(x.cached) <= replica {
		x.cached = append(x.cached, 0)
	}
}

func (x *Index) touch(record *sent, replica int, hash uint64) {
	if element, ok := record.entries[hash]; ok {
		record.order.MoveToFront(element)
		return
	}
	record.entries[hash] = record.order.PushFront(hash)
	x.holders[hash] = append(x.holders[hash], replica)
}

func (x *Index) dropMany(record *sent, replica, count int) {
	for range min(count, record.order.Len()) {
		x.dropOldest(record, replica)
	}
}

func (x *Index) dropOldest(record *sent, replica int) {
	hash, ok := record.order.Back().Value.(uint64)
	if ok {
		x.drop(record, replica, hash)
	}
}

func (x *Index) drop(record *sent, replica int, hash uint64) {
	element, ok := record.entries[hash]
	if !ok {
		return
	}
	record.order.Remove(element)
	delete(record.entries, hash)
	holders := x.holders[hash]
	for position, holder := range holders {
		if holder == replica {
			holders[position] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = holders
}
