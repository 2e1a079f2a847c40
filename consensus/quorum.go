package consensus

import (
	"cmp"
	"slices"
)

// quorum returns the size of a majority of voters. Any two majorities share a voter.
func quorum(voters int) int { return voters/2 + 1 }

// quorumValue returns the highest value that a quorum has reached, and false if fewer
// voters than a quorum have one. It sorts values, which has at most one of each voter.
func quorumValue[T cmp.Ordered](values []T, voters int) (T, bool) {
	needed := quorum(voters)
	if len(values) < needed {
		var none T
		return none, false
	}
	slices.Sort(values)
	return values[len(values)-needed], true
}
