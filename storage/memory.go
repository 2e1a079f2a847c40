package storage

import (
	"maps"
	"slices"
	"sync"

	"github.com/deckpulley/deckpulley/consensus"
)

// Memory is an in-memory Store for tests. It can simulate a power loss before or after any
// write. It is safe for concurrent use, so that a test can watch the store of a running
// member.
type Memory struct {
	mutex   sync.Mutex
	durable State
	writes  int // since the last ScheduleCrash or Reopen
	plan    CrashPlan
	down    bool
	// unsyncedWrites is the number of most recent writes that a crash undoes.
	unsyncedWrites int
	history        []State // states before each of those writes, oldest first
}

var _ Store = (*Memory)(nil)

// CrashPlan schedules a power loss at a write.
type CrashPlan struct {
	// Write is the number of the write, starting at 1; 0 schedules nothing.
	Write int
	// AfterWrite selects a power loss after that write is durable instead of before it.
	AfterWrite bool
}

// NewMemory returns an empty store with the given identity.
func NewMemory(identity consensus.ID) *Memory {
	memory := &Memory{}
	memory.Wipe(identity)
	return memory
}

// Wipe deletes everything and sets a new identity, as if the disk had been replaced.
func (m *Memory) Wipe(identity consensus.ID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.durable = State{Identity: identity}
	m.writes, m.plan, m.down = 0, CrashPlan{}, false
	m.unsyncedWrites, m.history = 0, nil
}

// ScheduleCrash schedules a power loss. The next write has number 1.
func (m *Memory) ScheduleCrash(plan CrashPlan) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.plan = plan
	m.writes = 0
}

// DropSyncedWrites makes a crash undo the given number of most recent writes although they
// were reported as synced, as with a faulty disk. Tests use it to verify that their checks
// detect lost writes.
func (m *Memory) DropSyncedWrites(writes int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.unsyncedWrites = writes
}

// Crash simulates a power loss now. Load and all writes fail until Reopen.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.crash()
}

// crash is Crash for a caller that holds the mutex.
func (m *Memory) crash() {
	m.down = true
	if m.unsyncedWrites > 0 && len(m.history) > 0 {
		m.durable = m.history[0]
		m.history = nil
	}
}

// Reopen restores the power and cancels a scheduled power loss. Only the durable state
// is left.
func (m *Memory) Reopen() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = false
	m.plan = CrashPlan{}
	m.writes = 0
}

// Recover implements Store. A Memory is never full.
func (m *Memory) Recover() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return &FinalError{Operation: "recover", Err: ErrCrash}
	}
	return nil
}

// Down reports whether the store has crashed and was not reopened yet.
func (m *Memory) Down() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.down
}

// Load implements Store.
func (m *Memory) Load() (State, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return State{}, ErrCrash
	}
	return clone(m.durable), checkConsistency(m.durable)
}

// SetCluster implements Store.
func (m *Memory) SetCluster(cluster string) error {
	return m.write(func(stored *State) { stored.Cluster = cluster })
}

// SetInitialControl implements Store.
func (m *Memory) SetInitialControl(addresses map[string]string) error {
	return m.write(func(stored *State) { stored.InitialControl = maps.Clone(addresses) })
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

// write applies one change as a synced transaction. A scheduled power loss happens before
// or after the change.
func (m *Memory) write(change func(*State)) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	m.writes++
	crashes := m.plan.Write != 0 && m.writes == m.plan.Write
	if crashes && !m.plan.AfterWrite {
		m.crash()
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	m.recordHistory()
	change(&m.durable)
	if crashes {
		m.crash()
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	return nil
}

// recordHistory saves the current state for a crash to restore, see DropSyncedWrites.
func (m *Memory) recordHistory() {
	if m.unsyncedWrites == 0 {
		return
	}
	m.history = append(m.history, clone(m.durable))
	if len(m.history) > m.unsyncedWrites {
		m.history = m.history[1:]
	}
}

// clone returns a copy that shares the entries, which are never modified. The capacity of
// their slice is clipped, so that appending to one copy does not affect the other.
func clone(loaded State) State {
	loaded.Entries = slices.Clip(loaded.Entries)
	return loaded
}
