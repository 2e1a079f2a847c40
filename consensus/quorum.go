package consensus

import (
	"cmp"
	"slices"
)

// quorum returns the size of a majority of voters. Any two majorities share a voter.
func quorum(voters int) int { return voters/2 + 1 }

// quorumValue returns the highest value that a quorum of voters has reached, or false if
// fewer voters than a quorum have a value. values has at most one value per voter; it is
// sorted in place.
func quorumValue[T cmp.Ordered](values []T, voters int) (T, bool) {
	needed := quorum(voters)
	if len(values) < needed {
		var none T
		return none, false
	}
	slices.Sort(values)
	return values[len(values)-needed], true
}
