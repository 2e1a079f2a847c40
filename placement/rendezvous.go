// Package placement chooses where a request runs: the order of the regions,
// and within a region the replica with the earliest expected first token. It is
// pure: what is known of replicas and regions is an input.
package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name, for Score.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Score ranks a member for a key by rendezvous (highest random weight): the
// member with the highest score owns the key. Both are hashes.
func Score(key, member uint64) uint64 {
	return mix(key ^ mix(member))
}

// Owner is the member with the highest score for the key, "" if there is none.
// Every process that knows the same members names the same owner, and a member
// that goes moves only the keys it owned.
func Owner(key string, members []string) string {
	owner := ""
	var highest uint64
	keyHash := Hash(key)
	for _, member := range members {
		score := Score(keyHash, Hash(member))
		if owner == "" || score > highest || (score == highest && member < owner) {
			owner, highest = member, score
		}
	}
	return owner
}

// Uniform maps a hash to [0, 1).
func Uniform(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}

// weightedScore orders members by weighted rendezvous; the smallest comes
// first, and a member comes first in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	uniform := max(Uniform(hash), 1e-18)
	return -math.Log(uniform) / weight
}

// mix is the finalizer of splitmix64: every input bit changes every output bit
// with a chance of one half.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}
