package placement

import (
	"fmt"
	"slices"
	"testing"
)

// numberedNames returns count names with the given prefix and a number.
func numberedNames(prefix string, count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprint(prefix, index)
	}
	return names
}

// TestOwnerMovesOnlyKeysOfRemovedMember removes one of five members, and checks that only its
// keys get another owner. It also checks that the owners do not depend on the order of the
// members, and that the keys are spread evenly over them.
func TestOwnerMovesOnlyKeysOfRemovedMember(t *testing.T) {
	members := numberedNames("g", 5)
	owned := map[string]int{}
	for _, key := range numberedNames("replica-", 5000) {
		before := Owner(key, members)
		owned[before]++
		after := Owner(key, members[1:])
		if before != "g0" && after != before {
			t.Fatalf("key %s moved from %s to %s, but only g0 was removed", key, before, after)
		}
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if Owner(key, reversed) != before {
			t.Fatal("the owner depends on the order of the members")
		}
	}
	for member, count := range owned {
		if count < 850 || count > 1150 {
			t.Errorf("member %s owns %d of 5000 keys, want about 1000", member, count)
		}
	}
}
