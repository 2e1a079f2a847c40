package soak

import (
	"errors"
	"testing"
	"time"
)

// numbered returns a schedule of events whose nodes are their numbers.
func numbered(count int) Schedule {
	var schedule Schedule
	for number := range count {
		schedule.Events = append(schedule.Events, Event{Node: number})
	}
	return schedule
}

// needs returns a check that fails while all of the events are there, and counts its calls.
func needs(calls *int, nodes ...int) func(Schedule) (bool, error) {
	return func(s Schedule) (bool, error) {
		*calls++
		present := 0
		for _, event := range s.Events {
			for _, node := range nodes {
				if event.Node == node {
					present++
				}
			}
		}
		return present == len(nodes), nil
	}
}

func TestShrink(t *testing.T) {
	for _, nodes := range [][]int{{0}, {39}, {3, 30}, {10, 11, 12}, {0, 13, 26, 39}} {
		calls := 0
		smallest, err := Shrink(numbered(40), needs(&calls, nodes...))
		if err != nil || len(smallest.Events) != len(nodes) {
			t.Errorf("events %v: %d events are left, error %v", nodes, len(smallest.Events), err)
		}
		for i, event := range smallest.Events {
			if event.Node != nodes[i] {
				t.Errorf("events %v: event %d is left", nodes, event.Node)
			}
		}
		if calls > 120 {
			t.Errorf("events %v: %d candidates were played", nodes, calls)
		}
	}
}

// TestShrinkKeepsWhatOnlyFailsWhole guards against events that are left out although the
// finding is gone without them.
func TestShrinkKeepsWhatOnlyFailsWhole(t *testing.T) {
	whole := numbered(7)
	smallest, err := Shrink(whole, func(s Schedule) (bool, error) { return len(s.Events) == len(whole.Events), nil })
	if err != nil || len(smallest.Events) != len(whole.Events) {
		t.Errorf("%d of %d events are left, error %v", len(smallest.Events), len(whole.Events), err)
	}
}

func TestShrinkReturnsSmallestBeforeError(t *testing.T) {
	broken := errors.New("cannot be played")
	calls := 0
	smallest, err := Shrink(Schedule{Length: time.Second, Events: numbered(8).Events}, func(Schedule) (bool, error) {
		calls++
		if calls > 1 {
			return false, broken
		}
		return true, nil
	})
	if !errors.Is(err, broken) || len(smallest.Events) != 4 {
		t.Errorf("%d events are left, error %v; want 4 and the error", len(smallest.Events), err)
	}
}
