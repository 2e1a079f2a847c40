package benchmark

import (
	"context"
	"fmt"
	"time"
)

// measureFailover measures, over several rounds, the time without a primary after the
// primary has stopped, and the restart of the stopped member.
func measureFailover(o *Options) ([]Table, error) {
	table := Table{
		Title:   "New primary after the loss of the old one",
		Note:    "The primary's node is closed without handing leadership over, as in a crash of its process; the time ends with the answer to the first update by another node. The stopped node then starts again on its disk and catches up before the next round.",
		Columns: []string{"voters", "rounds", "p50 ms", "max ms", "restarted node caught up, p50 ms"},
	}
	rounds := fullOrShort(o, 8, 1)
	for _, voters := range fullOrShort(o, []int{3, 5}, []int{3}) {
		row, err := failoverRow(o, voters, rounds)
		if err != nil {
			return nil, fmt.Errorf("failover with %d voters: %w", voters, err)
		}
		table.add(row...)
	}
	return []Table{table}, nil
}

func failoverRow(o *Options, voters, rounds int) ([]string, error) {
	g, err := newGroup(voters, 0, o.Logger)
	if err != nil {
		return nil, err
	}
	defer g.close()
	outages, restarts := newQuantiles(), newQuantiles()
	for range rounds {
		old, outage, serial, err := g.replacePrimary()
		if err != nil {
			return nil, err
		}
		outages.add(outage)
		restarted := time.Now()
		if err := old.start(); err != nil {
			return nil, err
		}
		if err := old.awaitSerial(serial); err != nil {
			return nil, err
		}
		restarts.add(time.Since(restarted))
	}
	return []string{
		fmt.Sprint(voters), fmt.Sprint(rounds), milliseconds(outages.percentile(50)),
		milliseconds(outages.longest()), milliseconds(restarts.percentile(50)),
	}, nil
}

// replacePrimary stops the primary and waits until another member has applied an update.
// It returns the stopped member, the time from the stop until the update was applied, and
// the serial of the table after the update.
func (g *group) replacePrimary() (old *member, outage time.Duration, serial uint32, err error) {
	if old, err = g.primary(); err != nil {
		return nil, 0, 0, err
	}
	stopped := time.Now()
	if err := old.stop(); err != nil {
		return nil, 0, 0, err
	}
	err = await("a new primary", time.Millisecond, func() bool {
		for _, member := range g.members {
			if member.node == nil {
				continue
			}
			if applied, err := g.probeAt(context.Background(), member); err == nil {
				serial = applied
				return true
			}
		}
		return false
	})
	return old, time.Since(stopped), serial, err
}
