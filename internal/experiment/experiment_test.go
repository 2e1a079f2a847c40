package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// shortConfig returns a run that is short enough for tests.
func shortConfig(profile *workload.Profile, policy NamedPolicy) FleetConfig {
	return FleetConfig{
		Profile:    profile,
		Parameters: emulator.DefaultParameters(emulator.KindModel),
		Seed:       1,
		Policy:     policy.New,
		WarmUp:     20 * time.Second,
		Duration:   50 * time.Second,
	}
}

// TestRequestsAreCountedOnce compares the counts of each policy with the traffic, and a
// run with its repetition.
func TestRequestsAreCountedOnce(t *testing.T) {
	profile := workload.Kodovka().Scale(1.6)
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			config := shortConfig(profile, policy)
			config.WarmUp = 0
			result := Run(config)
			sent := countModelRequests(config)
			if counted := result.Answered + result.Refused + result.Unfinished; counted != sent {
				t.Errorf("%d of %d requests counted", counted, sent)
			}
			if result.HitRate <= 0 || result.HitRate > 1 {
				t.Errorf("hit rate %f", result.HitRate)
			}
			if difference := cmp.Diff(result, Run(config), cmpopts.EquateComparable(), cmp.AllowUnexported(Result{})); difference != "" {
				t.Errorf("equal runs differ:\n%s", difference)
			}
		})
	}
}

// countModelRequests returns the number of requests that a run sends to the model service.
func countModelRequests(config FleetConfig) int {
	sent := 0
	generator := workload.New(config.Profile, nil, config.Seed, "experiment")
	for request := generator.Next(); request.At < config.Duration; request = generator.Next() {
		if request.Generate.Class != api.ClassFetch {
			sent++
		}
	}
	return sent
}

// TestCurrentLoadMatchesReplicaCapacity checks that the sizes of replicas and requests fit
// each other: placed by prefix, the profile's load is served well; placed without regard
// to prefixes, repeated prefill makes the time to first token at least 40% longer.
func TestCurrentLoadMatchesReplicaCapacity(t *testing.T) {
	const firstTokenBound = 920 * time.Millisecond
	policies := Policies()
	for _, deployment := range []string{"kodovka", "georgia"} {
		t.Run(deployment, func(t *testing.T) {
			profile, err := workload.ByName(deployment)
			if err != nil {
				t.Fatal(err)
			}
			if need := Utilization(profile, emulator.DefaultParameters(emulator.KindModel)); need < 0.3 || need > 0.5 {
				t.Errorf("the load needs %.2f of the capacity, want 0.3 to 0.5", need)
			}
			byPrefix := Run(shortConfig(profile, policies[2]))
			if byPrefix.Refused > 0 || byPrefix.FirstTokenP95 > firstTokenBound {
				t.Errorf("by prefix: %d refused, first token p95 %v", byPrefix.Refused, byPrefix.FirstTokenP95)
			}
			inTurn := Run(shortConfig(profile, policies[0]))
			if inTurn.HitRate > byPrefix.HitRate-0.1 || inTurn.FirstTokenP95 < byPrefix.FirstTokenP95*7/5 {
				t.Errorf("placement by prefix makes no difference: hits %.2f and %.2f, first token p95 %v and %v",
					inTurn.HitRate, byPrefix.HitRate, inTurn.FirstTokenP95, byPrefix.FirstTokenP95)
			}
		})
	}
}

// TestPlacementGainReachesTarget compares the gateways' own placement with the best
// baseline at 70% load.
func TestPlacementGainReachesTarget(t *testing.T) {
	const target = 0.3
	config := DefaultPlacementConfig()
	config.Loads = []float64{0.7}
	config.Seeds = 2
	config.Duration = 60 * time.Second
	points, err := RunPlacement(config)
	if err != nil {
		t.Fatal(err)
	}
	for _, comparison := range Compare(points) {
		if comparison.Gain() < target || comparison.OwnRefused > comparison.BestRefused {
			t.Errorf("%s: gain %.2f over %s, want %.2f: %+v", comparison.Deployment, comparison.Gain(), comparison.Best, target, comparison)
		}
	}
}

func TestPlacementReport(t *testing.T) {
	config := DefaultPlacementConfig()
	config.Deployments = []string{"georgia"}
	config.Loads = []float64{0.3, 0.5}
	config.Seeds = 2
	config.WarmUp = 5 * time.Second
	config.Duration = 10 * time.Second
	points, err := RunPlacement(config)
	if err != nil {
		t.Fatal(err)
	}
	if want := len(config.Loads) * len(Policies()); len(points) != want {
		t.Fatalf("%d points, want %d", len(points), want)
	}
	for _, comparison := range Compare(points) {
		for _, point := range points {
			baseline := point.Load == comparison.Load && point.Policy != CacheAwareName
			if baseline && point.Result.FirstTokenP95 < comparison.BestP95 {
				t.Errorf("%s is better than the best baseline %s", point.Policy, comparison.Best)
			}
		}
	}
	var table bytes.Buffer
	if err := WritePlacementTable(&table, points); err != nil {
		t.Fatal(err)
	}
	if lines := bytes.Count(table.Bytes(), []byte("\n")); lines != len(points)+1 {
		t.Errorf("%d lines for %d points", lines, len(points))
	}
	path := filepath.Join(t.TempDir(), "placement.svg")
	if err := PlotPlacement(path, points); err != nil {
		t.Fatal(err)
	}
	drawn, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, policy := range Policies() {
		if !bytes.Contains(drawn, []byte(policy.Name)) {
			t.Errorf("the figure does not name %s", policy.Name)
		}
	}
	if _, err := RunPlacement(PlacementConfig{Deployments: []string{"nowhere"}}); err == nil {
		t.Error("an unknown deployment was accepted")
	}
}
