package report

import (
	"html/template"
	"math"
	"sort"
)

// outcomeColors maps request outcomes to their colors.
var outcomeColors = map[string]string{
	OutcomeSuccess: "#4c9f70", OutcomeRefused: "#e0a030", OutcomeFailed: "#c8553d",
	OutcomeUnknown: "#7d5ba6", OutcomeUnreachable: "#555555", OutcomeAbandoned: "#a0b4c8", OutcomeUnanswered: "#222222",
}

// seriesColors are assigned to series in order, and repeat if there are more series.
var seriesColors = []string{"#3566a8", "#4c9f70", "#e0a030", "#c8553d", "#7d5ba6", "#555555"}

func outcomeChart(seconds []second, markers []marker) template.HTML {
	names := []string{OutcomeSuccess, OutcomeAbandoned, OutcomeRefused, OutcomeFailed, OutcomeUnknown, OutcomeUnreachable, OutcomeUnanswered}
	bars := stackedBars{title: "Requests by their final outcome", unit: "a second, by the time they began"}
	for _, name := range names {
		bars.series = append(bars.series, series{name: name, color: outcomeColors[name]})
	}
	for _, at := range seconds {
		bars.values = append(bars.values, at.outcomes)
	}
	return bars.render(markers)
}

func placementChart(seconds []second, markers []marker) template.HTML {
	regions := map[string]bool{}
	bars := stackedBars{title: "Executions by region", unit: "a second"}
	for _, at := range seconds {
		for region := range at.placements {
			regions[region] = true
		}
		bars.values = append(bars.values, at.placements)
	}
	for i, region := range sortedKeys(regions) {
		bars.series = append(bars.series, series{name: region, color: seriesColors[i%len(seriesColors)]})
	}
	return bars.render(markers)
}

// series is a named component of the stacked bars.
type series struct{ name, color string }

// stackedBars is a chart with one stacked bar per second.
type stackedBars struct {
	title  string
	unit   string
	series []series         // from bottom to top
	values []map[string]int // one map per second, by name of the series
}

func (b *stackedBars) render(markers []marker) template.HTML {
	drawn := newChart(b.title, b.unit, len(b.values), b.maximum())
	for i, values := range b.values {
		height := 0.0
		for _, part := range b.series {
			value := float64(values[part.name])
			drawn.bar(i, height, height+value, part.color)
			height += value
		}
	}
	for _, part := range b.series {
		drawn.addLegend(part.name, part.color)
	}
	return drawn.render(markers)
}

// maximum returns the height of the highest bar.
func (b *stackedBars) maximum() float64 {
	maximum := 0
	for _, values := range b.values {
		sum := 0
		for _, value := range values {
			sum += value
		}
		maximum = max(maximum, sum)
	}
	return float64(maximum)
}

// Quantiles of the latency chart.
const (
	median         = 0.5
	highPercentile = 0.95
)

func latencyChart(seconds []second, markers []marker) template.HTML {
	medians, high := make([]float64, len(seconds)), make([]float64, len(seconds))
	maximum := 0.0
	for i, at := range seconds {
		medians[i], high[i] = quantile(at.firstTokens, median), quantile(at.firstTokens, highPercentile)
		if !math.IsNaN(high[i]) {
			maximum = max(maximum, high[i])
		}
	}
	drawn := newChart("First token", "ms, by the time requests began", len(seconds), maximum)
	drawn.curve(medians, seriesColors[0])
	drawn.curve(high, seriesColors[3])
	drawn.addLegend("median", seriesColors[0])
	drawn.addLegend("95th percentile", seriesColors[3])
	return drawn.render(markers)
}

// quantile returns the value below which the given fraction of the values lies, or NaN if
// there are no values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

func versionChart(seconds []second, markers []marker) template.HTML {
	values := make([]float64, len(seconds))
	maximum := 0.0
	for i, at := range seconds {
		values[i] = math.NaN()
		if at.version > 0 {
			values[i] = float64(at.version)
			maximum = max(maximum, values[i])
		}
	}
	drawn := newChart("Configuration version", "newest stamp at any replica", len(seconds), maximum)
	drawn.curve(values, seriesColors[4])
	return drawn.render(markers)
}
