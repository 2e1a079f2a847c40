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

// shortConfig returns the configuration of a run that is short enough for tests.
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

// TestRequestsAreCountedOnce checks, for each policy, that every request of the traffic is
// counted exactly once and that a repeated run gives the same result.
func TestRequestsAreCountedOnce(t *testing.T) {
	profile := workload.Kodovka().Scale(1.6)
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			config := shortConfig(profile, policy)
			config.WarmUp = 0
			result := Run(config)
			sent := countModelRequests(config)
			if counted := result.Answered + result.Refused + result.Unfinished; counted != sent {
				t.Errorf("%d requests counted, %d sent", counted, sent)
			}
			if result.HitRate <= 0 || result.HitRate > 1 {
				t.Errorf("hit rate is %f, want above 0 and at most 1", result.HitRate)
			}
			if difference := cmp.Diff(result, Run(config), cmpopts.EquateComparable(), cmp.AllowUnexported(Result{})); difference != "" {
				t.Errorf("results of two runs with equal configurations differ:\n%s", difference)
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

// TestCurrentLoadMatchesReplicaCapacity checks that the emulated replicas are sized for the
// profiles' load. Placement by prefix must serve the load without refusals and within the
// bound of the time to first token. Placement that ignores prefixes repeats prefill work,
// which must make the time to first token at least 40% longer.
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
				t.Errorf("the load takes a fraction of %.2f of the capacity, want 0.3 to 0.5", need)
			}
			byPrefix := Run(shortConfig(profile, policies[2]))
			if byPrefix.Refused > 0 || byPrefix.FirstTokenP95 > firstTokenBound {
				t.Errorf("placement by prefix: %d requests refused, first token p95 %v", byPrefix.Refused, byPrefix.FirstTokenP95)
			}
			roundRobin := Run(shortConfig(profile, policies[0]))
			if roundRobin.HitRate > byPrefix.HitRate-0.1 || roundRobin.FirstTokenP95 < byPrefix.FirstTokenP95*7/5 {
				t.Errorf("round robin is too close to placement by prefix: hit rates %.2f and %.2f, first token p95 %v and %v",
					roundRobin.HitRate, byPrefix.HitRate, roundRobin.FirstTokenP95, byPrefix.FirstTokenP95)
			}
		})
	}
}

// TestPlacementGainReachesTarget checks that at 70% load the gateways' own placement policy
// has a first token p95 at least 30% below that of the best baseline, without refusing
// more requests.
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
			t.Errorf("%s: gain is %.2f over %s, want at least %.2f without more refusals: %+v", comparison.Deployment, comparison.Gain(), comparison.Best, target, comparison)
		}
	}
}

// TestPlacementReport checks the comparisons, the table and the figure of a small placement
// experiment.
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
		t.Errorf("table has %d lines for %d points and a header", lines, len(points))
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
			t.Errorf("the figure does not contain the policy name %q", policy.Name)
		}
	}
	if _, err := RunPlacement(PlacementConfig{Deployments: []string{"nowhere"}}); err == nil {
		t.Error("RunPlacement accepted an unknown deployment")
	}
}
