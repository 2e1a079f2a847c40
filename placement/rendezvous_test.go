package placement

import (
	"fmt"
	"slices"
	"testing"
)

// numberedNames returns count names that begin with prefix.
func numberedNames(prefix string, count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprint(prefix, index)
	}
	return names
}

// TestOwnerMovesOnlyKeysOfRemovedMember removes one of five members. Keys are spread
// evenly over the members, in whatever order these are given.
func TestOwnerMovesOnlyKeysOfRemovedMember(t *testing.T) {
	members := numberedNames("g", 5)
	owned := map[string]int{}
	for _, key := range numberedNames("replica-", 5000) {
		before := Owner(key, members)
		owned[before]++
		after := Owner(key, members[1:])
		if before != "g0" && after != before {
			t.Fatalf("%s moved from %s to %s", key, before, after)
		}
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if Owner(key, reversed) != before {
			t.Fatal("the owner depends on the order of the members")
		}
	}
	for member, count := range owned {
		if count < 850 || count > 1150 {
			t.Errorf("%s owns %d of 5000", member, count)
		}
	}
}
