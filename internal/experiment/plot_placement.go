package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Range of the latency axis of the placement figure, in milliseconds.
const (
	minLatencyMS = 50
	maxLatencyMS = 20_000
)

// PlotPlacement writes a figure to a file: the p95 of the time to first token and the
// prefix hit rate over the load, with a column for each deployment.
func PlotPlacement(path string, points []PlacementPoint) error {
	var deployments []string
	for _, point := range points {
		if len(deployments) == 0 || deployments[len(deployments)-1] != point.Deployment {
			deployments = append(deployments, point.Deployment)
		}
	}
	latencies := make([]*plot.Plot, 0, len(deployments))
	hitRates := make([]*plot.Plot, 0, len(deployments))
	for _, deployment := range deployments {
		latency, err := latencyPanel(points, deployment)
		if err != nil {
			return err
		}
		latencies = append(latencies, latency)
		hitRate, err := hitRatePanel(points, deployment)
		if err != nil {
			return err
		}
		hitRates = append(hitRates, hitRate)
	}
	return writeFigure(path, [][]*plot.Plot{latencies, hitRates})
}

// loadAxisLabel is the label of the horizontal axis.
const loadAxisLabel = "load (% of capacity)"

func latencyPanel(points []PlacementPoint, deployment string) (*plot.Plot, error) {
	lines := placementSeries(points, deployment, func(r *Result) float64 { return 1000 * r.FirstTokenP95.Seconds() })
	panel, err := newPanel(deployment, loadAxisLabel, "first token p95 (ms)", lines, false)
	if err != nil {
		return nil, err
	}
	panel.Y.Min, panel.Y.Max = minLatencyMS, maxLatencyMS
	panel.Y.Scale = plot.LogScale{}
	panel.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	return panel, nil
}

func hitRatePanel(points []PlacementPoint, deployment string) (*plot.Plot, error) {
	lines := placementSeries(points, deployment, func(r *Result) float64 { return 100 * r.HitRate })
	panel, err := newPanel("", loadAxisLabel, "prefix hits (%)", lines, true)
	if err != nil {
		return nil, err
	}
	panel.Y.Min, panel.Y.Max = 0, 100
	panel.Legend.Top = false
	return panel, nil
}

// placementSeries returns one line per policy with the given value over the load in one
// deployment.
func placementSeries(points []PlacementPoint, deployment string, value func(*Result) float64) []series {
	var lines []series
	for number, policy := range Policies() {
		line := series{name: policy.Name, colorIndex: number}
		for _, point := range points {
			if point.Deployment == deployment && point.Policy == policy.Name {
				line.points = append(line.points, plotter.XY{X: 100 * point.Load, Y: value(point.Result)})
			}
		}
		lines = append(lines, line)
	}
	return lines
}
