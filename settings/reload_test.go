package settings

import (
	"errors"
	"slices"
	"testing"

	"github.com/deckpulley/deckpulley/internal/fielddiff"
)

// TestEachFieldHasReload guards against a field of which nobody knows whether a change takes
// effect while the process runs.
func TestEachFieldHasReload(t *testing.T) {
	fields := fielddiff.All(Settings{}, "yaml")
	for _, field := range fields {
		if reloads[field] == 0 {
			t.Errorf("%s: it is not said when a change takes effect", field)
		}
	}
	for field := range reloads {
		if !slices.Contains(fields, field) {
			t.Errorf("%s: no such field", field)
		}
	}
}

// TestCheckReload guards against a change that is taken over in part or dropped in silence.
func TestCheckReload(t *testing.T) {
	running := Settings{Name: "a", Seeds: []string{"10.0.0.1:1"}}
	changed := running
	changed.Seeds = []string{"10.0.0.2:1"}
	changed.Log.Level = "debug"
	if err := running.CheckReload(&changed); err != nil {
		t.Errorf("seeds and log level were refused: %v", err)
	}
	changed.Zone, changed.Lease.Length = "z", 1
	var refused *RestartError
	if err := running.CheckReload(&changed); !errors.As(err, &refused) || !slices.Equal(refused.Fields, []string{"zone", "lease.length"}) {
		t.Errorf("got error %v, want a restart for zone and lease.length", err)
	}
}
