package benchmark

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/registry"
)

// shortSnapshotInterval is the snapshot interval of the runs with snapshots, in entries.
const shortSnapshotInterval = 64

// measureRecovery measures the restart of one of three members after different numbers of
// changes, with and without snapshots.
func measureRecovery(o *Options) ([]Table, error) {
	table := Table{
		Title:   "Recovery of a control node",
		Note:    fmt.Sprintf("One node of three is stopped and started again on its disk. Disk is the time to read and check it; serving is the time from the start of the process's work until the node shows every change in its own table, the wait for the group's next heartbeat (every 100 ms) included; five restarts each. With a snapshot, one is taken every %d entries.", shortSnapshotInterval),
		Columns: []string{"changes", "snapshot", "disk p50 ms", "serving p50 ms", "serving max ms"},
	}
	for _, changes := range fullOrShort(o, []int64{100, 1000, 10_000}, []int64{100, 1000}) {
		for _, snapshots := range []bool{false, true} {
			row, err := recoveryRow(o, changes, snapshots)
			if err != nil {
				return nil, fmt.Errorf("recovery after %d changes: %w", changes, err)
			}
			table.add(row...)
		}
	}
	return []Table{table}, nil
}

func recoveryRow(o *Options, changes int64, snapshots bool) ([]string, error) {
	interval, label := uint64(noSnapshots), "no"
	if snapshots {
		interval, label = shortSnapshotInterval, "yes"
	}
	g, err := newGroup(3, interval, o.Logger)
	if err != nil {
		return nil, err
	}
	defer g.close()
	if _, err := g.runUpdates(manyWriters, awaitTimeout, changes); err != nil {
		return nil, err
	}
	follower, serial, err := g.caughtUpFollower()
	if err != nil {
		return nil, err
	}
	opening, serving := newQuantiles(), newQuantiles()
	for range fullOrShort(o, 5, 1) {
		if err := follower.stop(); err != nil {
			return nil, err
		}
		started := time.Now()
		if err := follower.start(); err != nil {
			return nil, err
		}
		if err := follower.awaitSerial(serial); err != nil {
			return nil, err
		}
		serving.add(time.Since(started))
		opening.add(follower.openTime)
	}
	return []string{
		fmt.Sprint(changes), label, milliseconds(opening.percentile(50)), milliseconds(serving.percentile(50)), milliseconds(serving.longest()),
	}, nil
}

// caughtUpFollower waits until a member other than the primary has every change in its
// table. It returns that member and the serial of the table.
func (g *group) caughtUpFollower() (*member, uint32, error) {
	primary, err := g.primary()
	if err != nil {
		return nil, 0, err
	}
	serial, err := primary.serial()
	if err != nil {
		return nil, 0, err
	}
	for _, candidate := range g.members {
		if candidate != primary {
			return candidate, serial, candidate.awaitSerial(serial)
		}
	}
	return nil, 0, fmt.Errorf("finding a follower: %w", errTimeout)
}

// awaitSerial waits until the member's table has reached the given serial.
func (m *member) awaitSerial(serial uint32) error {
	return await("table serial of "+m.name, time.Millisecond, func() bool {
		current, err := m.serial()
		return err == nil && !registry.SerialLess(current, serial)
	})
}
