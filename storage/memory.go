package storage

import (
	"slices"

	"github.com/deckpulley/deckpulley/consensus"
)

// Memory is a Store for tests that can lose power before or after any write.
type Memory struct {
	durable State
	writes  int // since the last ScheduleCrash or Reopen
	plan    CrashPlan
	down    bool
	// unsynced is the number of newest writes that a crash undoes.
	unsynced int
	history  []State // before each of these writes, the oldest first
}

var _ Store = (*Memory)(nil)

// CrashPlan schedules a power cut at a write.
type CrashPlan struct {
	// Write is the number of the write, from 1; 0 schedules nothing.
	Write int
	// AfterWrite cuts the power after that write is durable, not before.
	AfterWrite bool
}

// NewMemory returns an empty disk with an identity.
func NewMemory(identity consensus.ID) *Memory {
	memory := &Memory{}
	memory.Wipe(identity)
	return memory
}

// Wipe makes the disk an empty one with a new identity, as if it was replaced.
func (m *Memory) Wipe(identity consensus.ID) {
	*m = Memory{durable: State{Identity: identity}}
}

// ScheduleCrash schedules a power cut, counted from the next write.
func (m *Memory) ScheduleCrash(plan CrashPlan) {
	m.plan = plan
	m.writes = 0
}

// DropSyncedWrites makes a crash undo the newest writes although they were reported as
// synced, as a faulty disk does. It exists to show that the checks notice.
func (m *Memory) DropSyncedWrites(writes int) {
	m.unsynced = writes
}

// Crash cuts the power now. Load and the writes fail until Reopen.
func (m *Memory) Crash() {
	m.down = true
	if m.unsynced > 0 && len(m.history) > 0 {
		m.durable = m.history[0]
		m.history = nil
	}
}

// Reopen restores the power and cancels the scheduled power cut. Only what was
// durable is left.
func (m *Memory) Reopen() {
	m.down = false
	m.plan = CrashPlan{}
	m.writes = 0
}

// Down reports whether the power is cut.
func (m *Memory) Down() bool {
	return m.down
}

// Load implements Store.
func (m *Memory) Load() (State, error) {
	if m.down {
		return State{}, ErrCrash
	}
	return clone(m.durable), verify(m.durable)
}

// SetCluster implements Store.
func (m *Memory) SetCluster(cluster string) error {
	return m.write(func(stored *State) { stored.Cluster = cluster })
}

// Save implements Store.
func (m *Memory) Save(state *consensus.HardState, entries []consensus.Entry) error {
	return m.write(func(stored *State) {
		if state != nil {
			stored.HardState = *state
		}
		if len(entries) > 0 {
			retained := stored.Entries
			for len(retained) > 0 && retained[len(retained)-1].Index >= entries[0].Index {
				retained = retained[:len(retained)-1]
			}
			stored.Entries = append(slices.Clip(retained), entries...)
		}
	})
}

// SaveSnapshot implements Store.
func (m *Memory) SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error {
	return m.write(func(stored *State) {
		stored.Snapshot = snapshot
		matches := slices.ContainsFunc(stored.Entries, func(entry consensus.Entry) bool {
			return entry.Index == snapshot.Index && entry.Term == snapshot.Term
		})
		if !matches {
			stored.Entries = nil
		}
		for len(stored.Entries) > 0 && stored.Entries[0].Index < keepFrom {
			stored.Entries = stored.Entries[1:]
		}
	})
}

// Close implements Store.
func (m *Memory) Close() error {
	return nil
}

// write applies one change as a synced transaction, with the scheduled power cut
// before or after it.
func (m *Memory) write(change func(*State)) error {
	if m.down {
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	m.writes++
	crashes := m.plan.Write != 0 && m.writes == m.plan.Write
	if crashes && !m.plan.AfterWrite {
		m.Crash()
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	m.recordHistory()
	change(&m.durable)
	if crashes {
		m.Crash()
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	return nil
}

// recordHistory keeps the states that a crash may restore, see DropSyncedWrites.
func (m *Memory) recordHistory() {
	if m.unsynced == 0 {
		return
	}
	m.history = append(m.history, clone(m.durable))
	if len(m.history) > m.unsynced {
		m.history = m.history[1:]
	}
}

// copyOf copies the slice header with its capacity clipped: entries themselves
// clone returns a copy that shares the entries, which are never changed. Their slice
// is clipped, so that appending to one copy does not write into the other.
func clone(loaded State) State {
	loaded.Entries = slices.Clip(loaded.Entries)
	return loaded
}
