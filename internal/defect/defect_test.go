package defect

import "testing"

// TestEachMutationHasName guards against a report that names no mutation, or ends with a panic.
func TestEachMutationHasName(t *testing.T) {
	for _, mutation := range append(All(), TakeOverUncommitted, LeaveWitnessesAlone) {
		if mutation.String() == "" {
			t.Errorf("mutation %d has no name", mutation)
		}
	}
}
