package turnover

import (
	"errors"
	"reflect"
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
