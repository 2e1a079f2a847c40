package turnover

import (
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestDrawShiftsTimesBySeed(t *testing.T) {
	plan := Default()
	if drawn := plan.Draw(0); !reflect.DeepEqual(drawn, plan) {
		t.Errorf("seed 0 gives %+v, want the plan itself", drawn)
	}
	first, again, other := plan.Draw(1), plan.Draw(1), plan.Draw(2)
	if !reflect.DeepEqual(first, again) {
		t.Errorf("the same seed gives %+v and %+v", first, again)
	}
	if reflect.DeepEqual(first.Replacements, other.Replacements) {
		t.Errorf("two seeds give the same times %v", first.Replacements)
	}
	for i, at := range first.Replacements {
		if shift := at - plan.Replacements[i]; shift > jitter || shift < -jitter {
			t.Errorf("a time was shifted by %v, want at most %v", shift, jitter)
		}
	}
}

// TestVariantsLeaveTimeToCatchUp checks that variants lose one control node at a time, as
// fault_tolerance allows.
func TestVariantsLeaveTimeToCatchUp(t *testing.T) {
	for seed := range uint64(200) {
		plan := Default().DrawVariant(seed)
		if err := plan.Validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if again := Default().DrawVariant(seed); !reflect.DeepEqual(plan, again) {
			t.Errorf("seed %d gives %+v and %+v", seed, plan, again)
		}
		losses := slices.Sorted(slices.Values(plan.Replacements))
		for i, at := range losses[1:] {
			if gap := at - losses[i] - plan.ReplacementDelay; gap < catchUpTime {
				t.Errorf("seed %d: a successor has %v until the next loss, want %v", seed, gap, catchUpTime)
			}
		}
		if plan.Changes[0] < plan.CutAt+plan.CutFor || plan.Changes[0] < losses[2] {
			t.Errorf("seed %d: the configuration changes at %v, before the cut or the losses are over", seed, plan.Changes[0])
		}
	}
}

func TestValidateNamesField(t *testing.T) {
	for field, change := range map[string]func(*Plan){
		"machines":     func(p *Plan) { p.Machines = 2 },
		"cut":          func(p *Plan) { p.CutMachines = 9 },
		"replacements": func(p *Plan) { p.Replacements = make([]time.Duration, 4) },
		"isolation":    func(p *Plan) { p.Isolation = "x" },
		"seeds":        func(p *Plan) { p.SeedChange = "x" },
	} {
		plan := Default()
		change(&plan)
		var invalid *FieldError
		if err := plan.Validate(); !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("got %v, want an error that names %s", err, field)
		}
	}
	if err := Default().Validate(); err != nil {
		t.Error(err)
	}
}

// TestMachineInContact checks that the rules count only a while after starts and cuts.
func TestMachineInContact(t *testing.T) {
	now := time.Now()
	m := &machine{started: now.Add(-time.Hour)}
	if !m.inContact(now) {
		t.Error("a machine that was never cut off is not in contact")
	}
	m.setCutUntil(now.Add(-contactTime + time.Millisecond))
	if m.inContact(now) {
		t.Error("a machine is in contact just after a cut")
	}
	m.setCutUntil(now.Add(-contactTime - time.Millisecond))
	if !m.inContact(now) {
		t.Error("a machine is not in contact a while after a cut")
	}
	m.started = now
	if m.inContact(now) {
		t.Error("a machine is in contact just after its start")
	}
}
