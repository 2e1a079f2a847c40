package soak

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

var drawn = Options{Seed: 7, Length: time.Minute, Gateways: 4, MalformedForms: 9}

// TestSeedDeterminesSchedule checks that a seed gives the same schedule each time, another
// seed another one, and that a written schedule reads as it was drawn.
func TestSeedDeterminesSchedule(t *testing.T) {
	first := Draw(drawn)
	if !reflect.DeepEqual(first, Draw(drawn)) {
		t.Error("the same seed gave two schedules")
	}
	other := drawn
	other.Seed++
	if reflect.DeepEqual(first.Events, Draw(other).Events) {
		t.Error("two seeds gave the same schedule")
	}
	path := filepath.Join(t.TempDir(), "schedule.json")
	if err := first.Write(path); err != nil {
		t.Fatal(err)
	}
	if read, err := Read(path); err != nil || !reflect.DeepEqual(read, first) {
		t.Errorf("got %+v, %v, want the schedule that was written", read, err)
	}
}

// TestSchedulesOverlapAndEndQuietly checks that disturbances of all kinds come, that some
// overlap, and that none begins in the quiet time at the end.
func TestSchedulesOverlapAndEndQuietly(t *testing.T) {
	kinds := make(map[Kind]bool)
	overlaps := 0
	for seed := range uint64(20) {
		options := drawn
		options.Seed = seed
		schedule := Draw(options)
		var end time.Duration
		for _, event := range schedule.Events {
			kinds[event.Kind] = true
			if event.At < end {
				overlaps++
			}
			end = max(end, event.At+event.For)
			if event.At > time.Duration((1-quietFraction)*float64(schedule.Length)) {
				t.Errorf("seed %d: %s begins at %v, in the quiet time", seed, event.Kind, event.At)
			}
		}
		if err := schedule.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	if all := len(kindWeights) + len(rareKinds); len(kinds) != all {
		t.Errorf("20 seeds drew %d kinds of %d", len(kinds), all)
	}
	if overlaps == 0 {
		t.Error("no two disturbances overlap")
	}
}

// TestUnplayableScheduleNamesField checks the errors of schedules that cannot be played.
func TestUnplayableScheduleNamesField(t *testing.T) {
	tests := map[string]func(*Schedule){
		"length_ns":      func(s *Schedule) { s.Length = 0 },
		"controls":       func(s *Schedule) { s.Controls = 5 },
		"replicas":       func(s *Schedule) { s.Replicas = 0 },
		"events[0].node": func(s *Schedule) { s.Events = []Event{{Kind: Kill, Role: RoleControl, Node: 3}} },
	}
	for field, change := range tests {
		schedule := Draw(drawn)
		change(&schedule)
		var problem *FieldError
		if err := schedule.check(); !errors.As(err, &problem) || problem.Field != field {
			t.Errorf("got %v, want a FieldError for %s", err, field)
		}
	}
}

// TestScheduleLosesOneControlNode checks that a schedule loses one disk of a control node or
// replaces one control node, as many as the group bears.
func TestScheduleLosesOneControlNode(t *testing.T) {
	replaced := 0
	for seed := range uint64(100) {
		schedule := Draw(Options{Seed: seed, Length: 10 * time.Second, Gateways: 4, MalformedForms: 1})
		counts := make(map[Kind]int)
		for _, event := range schedule.Events {
			counts[event.Kind]++
		}
		if lost := counts[Wipe] + counts[Replace]; lost != 1 {
			t.Errorf("seed %d loses %d control nodes, want 1", seed, lost)
		}
		replaced += counts[Replace]
	}
	if replaced == 0 || replaced == 100 {
		t.Errorf("%d of 100 schedules replace a control node, want some", replaced)
	}
}

// TestReplaceSettings checks that a file has the new settings and no other file is left.
func TestReplaceSettings(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.json")
	for _, want := range []string{`{"a":1}`, `{"a":2}`} {
		if err := ReplaceSettings(path, json.RawMessage(want)); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil || string(text) != want {
			t.Errorf("the file has %s, %v, want %s", text, err, want)
		}
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 1 {
		t.Errorf("the folder has %v, %v, want the file alone", entries, err)
	}
}
