package placement

import "container/list"

const (
	// IndexEntries is the number of links that the index of a service keeps for all
	// replicas together; each replica has an equal share.
	IndexEntries = 32 << 10
	// minReplicaEntries and maxReplicaEntries bound the share of a replica.
	minReplicaEntries = 64
	maxReplicaEntries = 2048
	// missFraction is the fraction of a replica's entries that are dropped when the
	// replica has not cached a prefix that it was expected to have: others as old
	// were probably evicted with it.
	missFraction = 0.25
)

// Index estimates which prefix chains each replica has in its KV cache. For each
// replica it keeps a bounded LRU list of the links sent to it, which is corrected by
// the responses and the reports of the replica. It is not safe for concurrent use.
type Index struct {
	limit    int              // entries of each replica
	holders  map[uint64][]int // replicas by link hash
	replicas map[int]*replicaEntries

	// cachedTokens and visited are buffers of Cached, which it leaves cleared.
	cachedTokens []int // by replica
	visited      []int // replicas
}

// replicaEntries are the links sent to one replica.
type replicaEntries struct {
	elements map[uint64]*list.Element // by link hash
	recency  *list.List               // link hashes, most recently sent first
}

// NewIndex returns an empty index for count replicas. The caller identifies replicas
// by small numbers.
func NewIndex(count int) *Index {
	index := &Index{
		holders:  make(map[uint64][]int),
		replicas: make(map[int]*replicaEntries),
	}
	index.SetCount(count)
	return index
}

// SetCount changes the number of replicas and with it the share of each. Entries
// beyond a lower share stay until the next one is recorded.
func (x *Index) SetCount(count int) {
	x.limit = min(maxReplicaEntries, max(minReplicaEntries, IndexEntries/max(1, count)))
}

// Record records that a chain was sent to a replica.
func (x *Index) Record(replica int, chain []Link) {
	entries := x.entriesOf(replica)
	for position := len(chain) - 1; position >= 0; position-- {
		x.add(entries, replica, chain[position].Hash)
	}
	x.trim(entries, replica)
}

// RecordHashes is Record for a chain of which only the hashes of the links are known.
func (x *Index) RecordHashes(replica int, hashes []uint64) {
	entries := x.entriesOf(replica)
	for position := len(hashes) - 1; position >= 0; position-- {
		x.add(entries, replica, hashes[position])
	}
	x.trim(entries, replica)
}

// trim drops the oldest entries beyond a replica's share.
func (x *Index) trim(entries *replicaEntries, replica int) {
	for entries.recency.Len() > x.limit {
		x.dropOldest(entries, replica)
	}
}

// Cached calls visit once for each replica that probably has a prefix of the chain in
// its cache, with the number of tokens of the longest one.
func (x *Index) Cached(chain []Link, visit func(replica, tokens int)) {
	x.visited = x.visited[:0]
	for position := len(chain) - 1; position >= 0; position-- {
		for _, replica := range x.holders[chain[position].Hash] {
			x.growBuffer(replica)
			if x.cachedTokens[replica] != 0 {
				continue
			}
			x.cachedTokens[replica] = chain[position].Tokens
			x.visited = append(x.visited, replica)
			visit(replica, chain[position].Tokens)
		}
	}
	for _, replica := range x.visited {
		x.cachedTokens[replica] = 0
	}
}

// Correct compares the number of tokens that were expected in a replica's cache with
// the number found there. A miss drops the oldest entries of the replica.
func (x *Index) Correct(replica, expected, found int) {
	if found >= expected {
		return
	}
	entries := x.entriesOf(replica)
	x.dropMany(entries, replica, max(1, int(missFraction*float64(entries.recency.Len()))))
}

// Evicted drops the oldest entries of a replica that reported count evictions.
func (x *Index) Evicted(replica, count int) {
	x.dropMany(x.entriesOf(replica), replica, count)
}

// Undo drops a chain that was recorded for a request that did not run.
func (x *Index) Undo(replica int, chain []Link) {
	entries := x.entriesOf(replica)
	for _, link := range chain {
		x.drop(entries, replica, link.Hash)
	}
}

// Forget drops all entries of a replica, for instance when it was restarted.
func (x *Index) Forget(replica int) {
	entries := x.replicas[replica]
	if entries == nil {
		return
	}
	x.dropMany(entries, replica, entries.recency.Len())
	delete(x.replicas, replica)
}

// Len returns the number of entries of a replica.
func (x *Index) Len(replica int) int {
	if entries := x.replicas[replica]; entries != nil {
		return entries.recency.Len()
	}
	return 0
}

// entriesOf returns the entries of a replica, which it creates if there are none.
func (x *Index) entriesOf(replica int) *replicaEntries {
	entries := x.replicas[replica]
	if entries == nil {
		entries = &replicaEntries{elements: make(map[uint64]*list.Element), recency: list.New()}
		x.replicas[replica] = entries
	}
	return entries
}

// growBuffer makes cachedTokens long enough for a replica.
func (x *Index) growBuffer(replica int) {
	for len(x.cachedTokens) <= replica {
		x.cachedTokens = append(x.cachedTokens, 0)
	}
}

// add makes a link the most recent entry of a replica.
func (x *Index) add(entries *replicaEntries, replica int, hash uint64) {
	if element, ok := entries.elements[hash]; ok {
		entries.recency.MoveToFront(element)
		return
	}
	entries.elements[hash] = entries.recency.PushFront(hash)
	x.holders[hash] = append(x.holders[hash], replica)
}

// dropMany drops the count oldest entries of a replica.
func (x *Index) dropMany(entries *replicaEntries, replica, count int) {
	for range min(count, entries.recency.Len()) {
		x.dropOldest(entries, replica)
	}
}

func (x *Index) dropOldest(entries *replicaEntries, replica int) {
	hash, ok := entries.recency.Back().Value.(uint64)
	if ok {
		x.drop(entries, replica, hash)
	}
}

// drop removes one entry of a replica, if the replica has it.
func (x *Index) drop(entries *replicaEntries, replica int, hash uint64) {
	element, ok := entries.elements[hash]
	if !ok {
		return
	}
	entries.recency.Remove(element)
	delete(entries.elements, hash)
	x.removeHolder(hash, replica)
}

// removeHolder removes a replica from the holders of a link.
func (x *Index) removeHolder(hash uint64, replica int) {
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
