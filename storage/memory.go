package storage

import (
	"slices"

	"github.com/deckpulley/deckpulley/consensus"
)

// Memory is a Store for tests that can lose power around any write.
type Memory struct {
	durable State
	// writes counts the writes since the last Reopen.
	writes int
	plan   CrashPlan
	down   bool
	// unsynced is the number of newest writes that a crash takes back.
	unsynced int
	history  []State
}

var _ Store = (*Memory)(nil)

// CrashPlan says at which write the power goes.
type CrashPlan struct {
	// Write counts from 1; zero plans nothing.
	Write int
	// AfterWrite lets that write reach the disk before the power goes.
	AfterWrite bool
}

// NewMemory makes an empty disk with the identity given.
func NewMemory(identity consensus.ID) *Memory {
	memory := &Memory{}
	memory.Wipe(identity)
	return memory
}

// Wipe takes everything away, as a replaced disk does.
func (m *Memory) Wipe(identity consensus.ID) {
	*m = Memory{durable: State{Identity: identity}}
}

// ScheduleCrash arms a power cut, counted from the next write.
func (m *Memory) ScheduleCrash(plan CrashPlan) {
	m.plan = plan
	m.writes = 0
}

// DropSyncedWrites makes the disk lie: a crash takes the newest writes back although
// they were reported as synced. It exists to show that the checks notice.
func (m *Memory) DropSyncedWrites(writes int) {
	m.unsynced = writes
}

// Crash cuts the power now.
func (m *Memory) Crash() {
	m.down = true
	if m.unsynced > 0 && len(m.history) > 0 {
		m.durable = m.history[0]
		m.history = nil
	}
}

// Reopen brings the power back. What was not durable is gone.
func (m *Memory) Reopen() {
	m.down = false
	m.plan = CrashPlan{}
	m.writes = 0
}

// Down tells whether the power is out.
func (m *Memory) Down() bool {
	return m.down
}

// Load implements Store.
func (m *Memory) Load() (State, error) {
	if m.down {
		return State{}, ErrCrash
	}
	return copyOf(m.durable), verify(m.durable)
}

// SetCluster implements Store.
func (m *Memory) SetCluster(cluster string) error {
	return m.write(func(held *State) { held.Cluster = cluster })
}

// Save implements Store.
func (m *Memory) Save(state *consensus.HardState, entries []consensus.Entry) error {
	return m.write(func(held *State) {
		if state != nil {
			held.HardState = *state
		}
		if len(entries) > 0 {
			kept := held.Entries
			for len(kept) > 0 && kept[len(kept)-1].Index >= entries[0].Index {
				kept = kept[:len(kept)-1]
			}
			held.Entries = append(slices.Clip(kept), entries...)
		}
	})
}

// SaveSnapshot implements Store.
func (m *Memory) SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error {
	return m.write(func(held *State) {
		held.Snapshot = snapshot
		reaches := slices.ContainsFunc(held.Entries, func(entry consensus.Entry) bool {
			return entry.Index == snapshot.Index && entry.Term == snapshot.Term
		})
		if !reaches {
			held.Entries = nil
		}
		for len(held.Entries) > 0 && held.Entries[0].Index < keepFrom {
			held.Entries = held.Entries[1:]
		}
	})
}

// Close implements Store.
func (m *Memory) Close() error {
	return nil
}

// write applies one change as a synced transaction, around which the planned
// power cut may strike.
func (m *Memory) write(change func(*State)) error {
	if m.down {
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	m.writes++
	strikes := m.plan.Write != 0 && m.writes == m.plan.Write
	if strikes && !m.plan.AfterWrite {
		m.Crash()
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	m.remember()
	change(&m.durable)
	if strikes {
		m.Crash()
		return &FinalError{Operation: "write", Err: ErrCrash}
	}
	return nil
}

// remember keeps the states that a lying disk may go back to.
func (m *Memory) remember() {
	if m.unsynced == 0 {
		return
	}
	m.history = append(m.history, copyOf(m.durable))
	if len(m.history) > m.unsynced {
		m.history = m.history[1:]
	}
}

// copyOf copies the slice header with its capacity clipped: entries themselves
// are never written to.
func copyOf(held State) State {
	held.Entries = slices.Clip(held.Entries)
	return held
}
