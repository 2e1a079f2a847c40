package benchmark

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/storage"
)

// entryBytes is the size of a log entry in the measurement of the disk alone. It is about
// the size of an update.
const entryBytes = 128

// manyWriters is the number of concurrent writers in the throughput measurement, and when
// a log is filled for the recovery measurement.
const manyWriters = 64

// updateRun is the result of a run of updates.
type updateRun struct {
	rate      float64 // per second
	latencies *quantiles
}

// runUpdates runs concurrent writers, each of which sends one update after the other to
// the primary, waiting for each answer. It ends after a duration or after count updates; a
// count of 0 means no limit.
func (g *group) runUpdates(writers int, duration time.Duration, count int64) (updateRun, error) {
	primary, err := g.primary()
	if err != nil {
		return updateRun{}, err
	}
	ctx := context.Background()
	var begun atomic.Int64
	var mutex sync.Mutex
	var failures error
	merged := newQuantiles()
	var running sync.WaitGroup
	started := time.Now()
	for range writers {
		running.Go(func() {
			own := newQuantiles()
			var failure error
			for failure == nil && time.Since(started) < duration && (count == 0 || begun.Add(1) <= count) {
				sent := time.Now()
				_, failure = g.updateAt(ctx, primary)
				own.add(time.Since(sent))
			}
			mutex.Lock()
			defer mutex.Unlock()
			merged.merge(own)
			failures = errors.Join(failures, failure)
		})
	}
	running.Wait()
	rate := float64(merged.count()) / time.Since(started).Seconds()
	return updateRun{rate: rate, latencies: merged}, failures
}

// measureUpdates compares groups of one, three and five voters.
func measureUpdates(o *Options) ([]Table, error) {
	duration := fullOrShort(o, 2500*time.Millisecond, 150*time.Millisecond)
	table := Table{
		Title:   "Updates",
		Note:    "Updates of one record, sent over TCP to the primary and answered after they are on a majority's disks and in its table. Each writer waits for its answer. Ratios are to one voter with as many writers. The first row is the disk alone: one synced write after the other, without network or table.",
		Columns: []string{"voters", "writers", "updates/s", "ratio", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms", "p50 ratio"},
	}
	disk, err := measureDisk(duration)
	if err != nil {
		return nil, err
	}
	table.add(append([]string{"disk alone", "1"}, updateCells(disk, updateRun{})...)...)
	baselines := make(map[int]updateRun) // runs with one voter, by the number of writers
	for _, voters := range []int{1, 3, 5} {
		for _, writers := range []int{1, manyWriters} {
			run, err := measureGroup(o, voters, writers, duration)
			if err != nil {
				return nil, fmt.Errorf("%d voters, %d writers: %w", voters, writers, err)
			}
			if voters == 1 {
				baselines[writers] = run
			}
			cells := []string{fmt.Sprint(voters), fmt.Sprint(writers)}
			table.add(append(cells, updateCells(run, baselines[writers])...)...)
		}
	}
	return []Table{table}, nil
}

// measureGroup measures updates at a new group with the given number of voters.
func measureGroup(o *Options, voters, writers int, duration time.Duration) (updateRun, error) {
	g, err := newGroup(voters, 0, o.Logger)
	if err != nil {
		return updateRun{}, err
	}
	defer g.close()
	return g.runUpdates(writers, duration, 0)
}

// updateCells returns the table cells of a run. The ratios are empty if baseline is empty.
func updateCells(run, baseline updateRun) []string {
	rateRatio, latencyRatio := "", ""
	if baseline.latencies != nil {
		rateRatio = decimal(run.rate / baseline.rate)
		latencyRatio = decimal(float64(run.latencies.percentile(50)) / float64(baseline.latencies.percentile(50)))
	}
	return []string{
		integer(run.rate), rateRatio,
		milliseconds(run.latencies.percentile(50)), milliseconds(run.latencies.percentile(90)), milliseconds(run.latencies.percentile(99)),
		milliseconds(run.latencies.percentile(99.9)), milliseconds(run.latencies.longest()), latencyRatio,
	}
}

// measureDisk measures the storage without a group: it persists entries of the size of an
// update, one after the other.
func measureDisk(duration time.Duration) (updateRun, error) {
	folder, err := os.MkdirTemp("", "deckpulley-bench-")
	if err != nil {
		return updateRun{}, fmt.Errorf("creating a folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	disk, err := storage.Open(filepath.Join(folder, "disk"))
	if err != nil {
		return updateRun{}, err
	}
	defer func() { _ = disk.Close() }()
	run := updateRun{latencies: newQuantiles()}
	started := time.Now()
	for index := uint64(1); time.Since(started) < duration; index++ {
		before := time.Now()
		entry := consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryNormal, Data: make([]byte, entryBytes)}
		if err := disk.Save(nil, []consensus.Entry{entry}); err != nil {
			return updateRun{}, err
		}
		run.latencies.add(time.Since(before))
	}
	run.rate = float64(run.latencies.count()) / time.Since(started).Seconds()
	return run, nil
}
