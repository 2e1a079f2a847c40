package configuration

import "slices"

// Bounds on the search for the nearest name. Its cost is proportional to the number of
// names and to the square of their length.
const (
	maxNearestNames    = 1024
	maxNearestBytes    = 64
	maxNearestSearches = 20 // number of problems of one document that are searched for
)

// nearest returns the valid name at the smallest edit distance, and of several such
// names the first in alphabetical order. It returns "" if more than a third of the name
// would have to change, or if the search would exceed its bounds.
func nearest(name string, valid []string) string {
	if len(valid) > maxNearestNames || len(name) > maxNearestBytes {
		return ""
	}
	best, bestDistance := "", max(1, len(name)/3)+1
	for _, candidate := range slices.Sorted(slices.Values(valid)) {
		if abs(len(candidate)-len(name)) >= bestDistance {
			continue
		}
		if distance := editDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

func abs(value int) int { return max(value, -value) }

// editDistance returns the optimal string alignment distance: the number of insertions,
// deletions, substitutions and swaps of adjacent bytes that turn one string into the
// other.
func editDistance(from, to string) int {
	// row[j] is the distance from from[:i] to to[:j]; last and beforeLast are those
	// of i-1 and i-2.
	beforeLast := make([]int, len(to)+1)
	last := make([]int, len(to)+1)
	row := make([]int, len(to)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(from); i++ {
		row[0] = i
		for j := 1; j <= len(to); j++ {
			substitution := last[j-1]
			if from[i-1] != to[j-1] {
				substitution++
			}
			row[j] = min(last[j]+1, row[j-1]+1, substitution)
			if i > 1 && j > 1 && from[i-1] == to[j-2] && from[i-2] == to[j-1] {
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		beforeLast, last, row = last, row, beforeLast
	}
	return last[len(to)]
}
