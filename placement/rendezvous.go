// Package placement chooses where a request runs: the order in which regions are
// tried, and within a region the replica with the lowest cost, which is mostly the
// expected time to the first token. Its functions have no side effects: the state of
// replicas and regions is an input.
package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name, as an argument of Score.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Score returns the score of a member for a key in rendezvous hashing (highest
// random weight): the member with the highest score owns the key. Both arguments
// are hashes.
func Score(key, member uint64) uint64 {
	return mix(key ^ mix(member))
}

// Owner returns the member with the highest score for the key, or "" if there are no
// members. Processes with the same members agree on the owner, and the removal of a
// member changes the owner of only those keys that it owned.
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

// Uniform maps a hash to a number in [0, 1).
func Uniform(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}

// minUniform is a lower bound that keeps the logarithm of a uniform number finite.
const minUniform = 1e-18

// weightedScore returns the score of a member in weighted rendezvous hashing. The
// member with the lowest score is chosen, so the probability of a member is
// proportional to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	uniform := max(Uniform(hash), minUniform)
	return -math.Log(uniform) / weight
}

// mix is the finalizer of splitmix64: each input bit changes each output bit with a
// probability of one half.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}
