package storage

import (
	"errors"
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
)

// TestCrashWithinPersistLeavesNoGap checks that after a power loss at any point of Persist,
// entries that follow a snapshot are on disk only together with that snapshot.
func TestCrashWithinPersistLeavesNoGap(t *testing.T) {
	snapshot := consensus.Snapshot{Index: 9, Term: 2, Data: []byte("state")}
	ready := consensus.Ready{
		Snapshot:  &snapshot,
		HardState: &consensus.HardState{Term: 2, Commit: 9},
		Entries:   entries(10, 12, 2),
	}
	for write := 1; write <= 2; write++ {
		for _, after := range []bool{false, true} {
			memory := NewMemory("disk")
			memory.ScheduleCrash(CrashPlan{Write: write, AfterWrite: after})
			if err := Persist(memory, ready); !errors.Is(err, ErrCrash) {
				t.Fatalf("crash at write %d (after the write: %t): Persist returned %v, want ErrCrash", write, after, err)
			}
			memory.Reopen()
			if _, err := memory.Load(); err != nil {
				t.Errorf("crash at write %d (after the write: %t): loading the state: %v", write, after, err)
			}
		}
	}
}
