package placement

import "container/list"

const (
	// IndexEntries is the maximum number of links in the index of a service for all
	// replicas together; each replica has an equal share.
	IndexEntries = 32 << 10
	// minReplicaEntries and maxReplicaEntries are the bounds on the share of a replica.
	minReplicaEntries = 64
	maxReplicaEntries = 2048
	// missFraction is the fraction of a replica's entries, the oldest ones, that is
	// dropped when the replica had less of a prompt in its cache than expected: it has
	// probably evicted other old prefixes as well.
	missFraction = 0.25
)

// Index estimates which prefix chains each replica has in its KV cache. For each
// replica it holds a bounded LRU list of the links that were sent there, which the
// caller corrects by the replica's responses and reports. It is not safe for
// concurrent use.
type Index struct {
	limit    int              // maximum number of entries of each replica
	holders  map[uint64][]int // replicas that have a link, by its hash
	replicas map[int]*replicaEntries

	// cachedTokens and visited are buffers that Cached reuses. cachedTokens is all zero
	// between calls.
	cachedTokens []int // by replica
	visited      []int // replicas
}

// replicaEntries are the links sent to one replica.
type replicaEntries struct {
	elements map[uint64]*list.Element // by link hash
	recency  *list.List               // link hashes, most recently sent first
}

// NewIndex returns an empty index for count replicas. The caller identifies each
// replica by a small number, at least 0.
func NewIndex(count int) *Index {
	index := &Index{
		holders:  make(map[uint64][]int),
		replicas: make(map[int]*replicaEntries),
	}
	index.SetCount(count)
	return index
}

// SetCount changes the number of replicas and thereby the share of each. If the share
// shrinks, the excess entries of a replica are dropped when the next chain is recorded
// for it.
func (ix *Index) SetCount(count int) {
	ix.limit = min(maxReplicaEntries, max(minReplicaEntries, IndexEntries/max(1, count)))
}

// Record records that a chain was sent to a replica.
func (ix *Index) Record(replica int, chain []Link) {
	entries := ix.entriesOf(replica)
	for position := len(chain) - 1; position >= 0; position-- {
		ix.add(entries, replica, chain[position].Hash)
	}
	ix.trim(entries, replica)
}

// RecordHashes is like Record, but takes only the hashes of the chain's links.
func (ix *Index) RecordHashes(replica int, hashes []uint64) {
	entries := ix.entriesOf(replica)
	for position := len(hashes) - 1; position >= 0; position-- {
		ix.add(entries, replica, hashes[position])
	}
	ix.trim(entries, replica)
}

// trim drops the oldest entries beyond a replica's share.
func (ix *Index) trim(entries *replicaEntries, replica int) {
	for entries.recency.Len() > ix.limit {
		ix.dropOldest(entries, replica)
	}
}

// Cached calls visit once for each replica that probably has a link of the chain in its
// cache, with the number of tokens up to the last such link.
func (ix *Index) Cached(chain []Link, visit func(replica, tokens int)) {
	ix.visited = ix.visited[:0]
	for position := len(chain) - 1; position >= 0; position-- {
		for _, replica := range ix.holders[chain[position].Hash] {
			ix.growBuffer(replica)
			if ix.cachedTokens[replica] != 0 {
				continue
			}
			ix.cachedTokens[replica] = chain[position].Tokens
			ix.visited = append(ix.visited, replica)
			visit(replica, chain[position].Tokens)
		}
	}
	for _, replica := range ix.visited {
		ix.cachedTokens[replica] = 0
	}
}

// RecordMiss compares the number of tokens that were expected in a replica's cache with
// the number found there. A miss drops the oldest entries of the replica.
func (ix *Index) RecordMiss(replica, expected, found int) {
	if found >= expected {
		return
	}
	entries := ix.entriesOf(replica)
	ix.dropOldestEntries(entries, replica, max(1, int(missFraction*float64(entries.recency.Len()))))
}

// Evicted drops the oldest entries of a replica that reported count evictions.
func (ix *Index) Evicted(replica, count int) {
	ix.dropOldestEntries(ix.entriesOf(replica), replica, count)
}

// RemoveChain drops a chain that was recorded for a request that then did not run.
func (ix *Index) RemoveChain(replica int, chain []Link) {
	entries := ix.entriesOf(replica)
	for _, link := range chain {
		ix.drop(entries, replica, link.Hash)
	}
}

// Forget drops all entries of a replica, for instance when it was restarted.
func (ix *Index) Forget(replica int) {
	entries := ix.replicas[replica]
	if entries == nil {
		return
	}
	ix.dropOldestEntries(entries, replica, entries.recency.Len())
	delete(ix.replicas, replica)
}

// Len returns the number of entries of a replica.
func (ix *Index) Len(replica int) int {
	if entries := ix.replicas[replica]; entries != nil {
		return entries.recency.Len()
	}
	return 0
}

// entriesOf returns the entries of a replica, and creates them if there are none.
func (ix *Index) entriesOf(replica int) *replicaEntries {
	entries := ix.replicas[replica]
	if entries == nil {
		entries = &replicaEntries{elements: make(map[uint64]*list.Element), recency: list.New()}
		ix.replicas[replica] = entries
	}
	return entries
}

// growBuffer extends cachedTokens so that it has an element for the replica.
func (ix *Index) growBuffer(replica int) {
	for len(ix.cachedTokens) <= replica {
		ix.cachedTokens = append(ix.cachedTokens, 0)
	}
}

// add makes a link the most recent entry of a replica.
func (ix *Index) add(entries *replicaEntries, replica int, hash uint64) {
	if element, ok := entries.elements[hash]; ok {
		entries.recency.MoveToFront(element)
		return
	}
	entries.elements[hash] = entries.recency.PushFront(hash)
	ix.holders[hash] = append(ix.holders[hash], replica)
}

// dropOldestEntries drops the count oldest entries of a replica.
func (ix *Index) dropOldestEntries(entries *replicaEntries, replica, count int) {
	for range min(count, entries.recency.Len()) {
		ix.dropOldest(entries, replica)
	}
}

func (ix *Index) dropOldest(entries *replicaEntries, replica int) {
	hash, ok := entries.recency.Back().Value.(uint64)
	if ok {
		ix.drop(entries, replica, hash)
	}
}

// drop removes one entry of a replica, if the replica has it.
func (ix *Index) drop(entries *replicaEntries, replica int, hash uint64) {
	element, ok := entries.elements[hash]
	if !ok {
		return
	}
	entries.recency.Remove(element)
	delete(entries.elements, hash)
	ix.removeHolder(hash, replica)
}

// removeHolder removes a replica from the holders of a link.
func (ix *Index) removeHolder(hash uint64, replica int) {
	holders := ix.holders[hash]
	for position, holder := range holders {
		if holder == replica {
			holders[position] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(ix.holders, hash)
		return
	}
	ix.holders[hash] = holders
}
