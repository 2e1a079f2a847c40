package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// NamedPolicy is one of the policies that the placement experiment compares.
type NamedPolicy struct {
	Name string
	// New returns the policy of one gateway for the replicas of its region.
	New func(gatewayNumber int, replicas []string) Policy
}

// CacheAwareName is the name of the gateways' own policy in tables and figures.
const CacheAwareName = "cache aware"

// Policies returns the compared policies: the baselines and, as the last one, the
// gateways' own policy.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"round robin", func(number int, _ []string) Policy { return &RoundRobin{next: number} }},
		{"least loaded", func(number int, _ []string) Policy { return &LeastLoaded{next: number} }},
		{"affinity only", func(int, []string) Policy { return AffinityOnly{} }},
		{CacheAwareName, func(_ int, replicas []string) Policy { return NewCacheAware(replicas) }},
	}
}

// PlacementConfig configures the placement experiment.
type PlacementConfig struct {
	// Deployments are names that workload.ByName accepts.
	Deployments []string
	// Loads are fractions of the replicas' capacity, in the sense of Utilization.
	Loads []float64
	// Seeds is the number of runs per point, with the seeds 1 to Seeds.
	Seeds int
	// WarmUp is the part of Duration, at its beginning, that does not count in the
	// results.
	WarmUp, Duration time.Duration
	// Parallel is the maximum number of concurrent runs.
	Parallel int
}

// DefaultPlacementConfig returns the configuration of the documented experiment.
func DefaultPlacementConfig() PlacementConfig {
	return PlacementConfig{
		Deployments: []string{"kodovka", "georgia", "skewed"},
		Loads:       []float64{0.4, 0.5, 0.6, 0.7, 0.8},
		Seeds:       4,
		WarmUp:      20 * time.Second,
		Duration:    80 * time.Second,
		Parallel:    4,
	}
}

// PlacementPoint is the merged result of all runs of one policy at one load.
type PlacementPoint struct {
	Deployment string
	Load       float64
	// Scale is the load divided by the profile's load.
	Scale  float64
	Policy string
	Result *Result
}

// RunPlacement runs every policy with the same seeds at every load of every deployment. It
// returns an error if a deployment is unknown.
func RunPlacement(config PlacementConfig) ([]PlacementPoint, error) {
	parameters := emulator.DefaultParameters(emulator.KindModel)
	var points []PlacementPoint
	for _, deployment := range config.Deployments {
		profile, err := workload.ByName(deployment)
		if err != nil {
			return nil, err
		}
		base := Utilization(profile, parameters)
		for _, load := range config.Loads {
			for _, policy := range Policies() {
				points = append(points, PlacementPoint{
					Deployment: deployment, Load: load, Scale: load / base, Policy: policy.Name,
					Result: runSeeds(config, profile.Scale(load/base), parameters, policy),
				})
			}
		}
	}
	return points, nil
}

// runSeeds runs a policy once with each seed and merges the results.
func runSeeds(config PlacementConfig, profile *workload.Profile, parameters emulator.Parameters, policy NamedPolicy) *Result {
	results := make([]*Result, config.Seeds)
	var group errgroup.Group
	group.SetLimit(config.Parallel)
	for index := range results {
		group.Go(func() error {
			results[index] = Run(FleetConfig{
				Profile:    profile,
				Parameters: parameters,
				Seed:       uint64(index + 1),
				Policy:     policy.New,
				WarmUp:     config.WarmUp,
				Duration:   config.Duration,
			})
			return nil
		})
	}
	_ = group.Wait() // no run returns an error
	merged := results[0]
	for _, other := range results[1:] {
		merged.merge(other)
	}
	return merged
}

// WritePlacementTable writes a table with a row for each point.
func WritePlacementTable(w io.Writer, points []PlacementPoint) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "deployment\tload\tof today\tpolicy\tprefix hits\tfirst token p50\tp95\tp99\tgap p95\tanswered\trefused\t")
	for _, point := range points {
		result := point.Result
		fmt.Fprintf(table, "%s\t%.0f%%\t%.2f\t%s\t%.1f%%\t%d ms\t%d ms\t%d ms\t%.1f ms\t%d\t%d\t\n",
			point.Deployment, 100*point.Load, point.Scale, point.Policy, 100*result.HitRate,
			result.FirstTokenP50.Milliseconds(), result.FirstTokenP95.Milliseconds(), result.FirstTokenP99.Milliseconds(),
			1000*result.GapP95.Seconds(), result.Answered, result.Refused)
	}
	return table.Flush()
}

// Comparison compares the gateways' own policy with the best baseline at one load.
type Comparison struct {
	Deployment string
	Load       float64
	// Best is the baseline with the lowest p95 of the first token.
	Best    string
	BestP95 time.Duration
	OwnP95  time.Duration
	// BestRefused and OwnRefused are the numbers of refused requests.
	BestRefused int
	OwnRefused  int
}

// Gain returns the fraction by which OwnP95 is below BestP95.
func (c Comparison) Gain() float64 {
	return 1 - c.OwnP95.Seconds()/c.BestP95.Seconds()
}

// Compare returns a comparison for each deployment and load. The points must be those that
// RunPlacement returned, complete and in the same order.
func Compare(points []PlacementPoint) []Comparison {
	var comparisons []Comparison
	for start := 0; start < len(points); start += len(Policies()) {
		group := points[start : start+len(Policies())]
		own := group[len(group)-1]
		best := group[0]
		for _, candidate := range group[1 : len(group)-1] {
			if candidate.Result.FirstTokenP95 < best.Result.FirstTokenP95 {
				best = candidate
			}
		}
		comparisons = append(comparisons, Comparison{
			Deployment: own.Deployment, Load: own.Load, Best: best.Policy,
			BestP95: best.Result.FirstTokenP95, OwnP95: own.Result.FirstTokenP95,
			BestRefused: best.Result.Refused, OwnRefused: own.Result.Refused,
		})
	}
	return comparisons
}

// WriteComparisons writes a table with a row for each comparison.
func WriteComparisons(w io.Writer, comparisons []Comparison) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "deployment\tload\tbest baseline\tits p95\tits refusals\tour p95\tour refusals\tgain\t")
	for _, c := range comparisons {
		fmt.Fprintf(table, "%s\t%.0f%%\t%s\t%d ms\t%d\t%d ms\t%d\t%.0f%%\t\n",
			c.Deployment, 100*c.Load, c.Best, c.BestP95.Milliseconds(), c.BestRefused,
			c.OwnP95.Milliseconds(), c.OwnRefused, 100*c.Gain())
	}
	return table.Flush()
}
