package scenario

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/scenarios"
)

func TestShippedScenariosAreValid(t *testing.T) {
	list, err := LoadAll(scenarios.Files)
	if err != nil {
		t.Fatal(err)
	}
	short, exercised := 0, map[string]bool{}
	for _, shipped := range list {
		if shipped.Short {
			short++
		}
		for _, promise := range shipped.Promises {
			exercised[promise] = true
		}
	}
	if short != 8 {
		t.Errorf("%d scenarios in the short suite, want 8", short)
	}
	for number := 1; number <= 18; number++ {
		promise := "P" + strconv.Itoa(number)
		if !exercised[promise] {
			t.Errorf("no scenario lists promise %s", promise)
		}
	}
}

func TestParseNamesTheInvalidField(t *testing.T) {
	tests := []struct{ name, text, reason string }{
		{"unknown field", "about: x\nstep: []", "field step not found"},
		{"unknown action", "about: x\nsteps: [{do: explode}]", `unknown action "explode"`},
		{"missing target", "about: x\nsteps: [{do: kill}]", "target: missing"},
		{"missing factor", "about: x\nsteps: [{do: crowd}]", "factor: missing"},
		{"time without unit", "about: x\nsteps: [{do: wait, at: 5}]", "not a duration"},
		{"both at and after", "about: x\nsteps: [{do: wait, at: 5s, after: 1s}]", "exclude each other"},
		{"cut without relays", "about: x\nsteps: [{do: cut, target: primary}]", "relays: true"},
		{"unknown condition", "about: x\nsteps: [{do: wait, when: never}]", `unknown condition "never"`},
		{"neither steps nor random", "about: x", "either steps or random"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("test", []byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.reason) {
				t.Errorf("error %v, want %q", err, test.reason)
			}
		})
	}
}

func TestRandomStepsAreValidAndDeterministic(t *testing.T) {
	deployment, err := fleet.LoadDeployment("georgia")
	if err != nil {
		t.Fatal(err)
	}
	withRelays := &Scenario{Relays: true}
	random := Random{For: Duration(10 * time.Minute), Interval: Duration(time.Second)}
	steps := drawSteps(random, 7, deployment)
	for i, step := range steps {
		if err := step.validate(withRelays); err != nil {
			t.Errorf("steps[%d] (%s): %v", i, step.Do, err)
		}
	}
	if difference := cmp.Diff(steps, drawSteps(random, 7, deployment)); difference != "" {
		t.Errorf("two runs with the same seed drew different steps:\n%s", difference)
	}
}
