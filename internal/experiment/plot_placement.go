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

// PlotPlacement writes a figure of the p95 of the first token and of the prefix hit rate
// over the load, with a column for each deployment.
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

// loadAxis is the label of the load axis.
const loadAxis = "load (% of capacity)"

func latencyPanel(points []PlacementPoint, deployment string) (*plot.Plot, error) {
	lines := placementSeries(points, deployment, func(r *Result) float64 { return 1000 * r.FirstTokenP95.Seconds() })
	panel, err := newPanel(deployment, loadAxis, "first token p95 (ms)", lines, false)
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
	panel, err := newPanel("", loadAxis, "prefix hits (%)", lines, true)
	if err != nil {
		return nil, err
	}
	panel.Y.Min, panel.Y.Max = 0, 100
	panel.Legend.Top = false
	return panel, nil
}

// placementSeries returns a line for each policy in one deployment.
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
