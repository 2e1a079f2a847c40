package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// legendHeadroom is the factor by which the value axis is extended, so that the legend
// does not cover a line.
const legendHeadroom = 1.4

// PlotResponse writes a figure to a file: utilization, time to first token, request
// outcomes and cold replicas over time, with the set points of the first two.
func PlotResponse(path string, r *Response) error {
	title := fmt.Sprintf("%s, %s", r.Deployment, r.Disturbance)
	definitions := []struct {
		title, y string
		lines    []series
	}{
		{title, "utilization", r.utilizationSeries()},
		{"", "first token (ms)", r.firstTokenSeries()},
		{"", "requests per second", r.outcomeSeries()},
		{"", "cold replicas and requests", r.coldSeries()},
	}
	rows := make([][]*plot.Plot, 2)
	for index, definition := range definitions {
		panel, err := newPanel(definition.title, "time (s)", definition.y, definition.lines, true)
		if err != nil {
			return err
		}
		panel.Y.Min = 0
		panel.Y.Max = max(1, legendHeadroom*panel.Y.Max)
		rows[index/2] = append(rows[index/2], panel)
	}
	return writeFigure(path, rows)
}

func (r *Response) utilizationSeries() []series {
	lines := make([]series, 0, len(r.Regions)+1)
	for number, region := range r.Regions {
		lines = append(lines, r.smoothedSeries(region, number, func(s Sample) float64 { return s.Utilization[region] }))
	}
	return append(lines, r.setPointSeries(r.Limits.TargetUtilization))
}

func (r *Response) firstTokenSeries() []series {
	return []series{
		r.smoothedSeries("p95", colorGray, func(s Sample) float64 { return 1000 * s.FirstTokenP95.Seconds() }),
		r.setPointSeries(float64(r.Limits.FirstTokenMS)),
	}
}

func (r *Response) outcomeSeries() []series {
	return []series{
		r.smoothedSeries("answers", colorGreen, func(s Sample) float64 { return s.Answers }),
		r.smoothedSeries("refusals", colorVermillion, func(s Sample) float64 { return s.Refusals }),
		r.smoothedSeries("failures", colorPurple, func(s Sample) float64 { return s.Failures }),
		r.smoothedSeries("spilled", colorSkyBlue, func(s Sample) float64 { return s.Spills }),
	}
}

func (r *Response) coldSeries() []series {
	return []series{
		r.smoothedSeries("cold replicas", colorSkyBlue, func(s Sample) float64 { return float64(s.Cold) }),
		r.smoothedSeries("most in flight on one", colorVermillion, func(s Sample) float64 { return float64(s.ColdInFlight) }),
		r.smoothedSeries("its ramp", colorGray, func(s Sample) float64 { return float64(s.ColdLimit) }),
	}
}

// smoothedSeries returns the moving average of a value over time.
func (r *Response) smoothedSeries(name string, colorIndex int, value func(Sample) float64) series {
	line := series{name: name, colorIndex: colorIndex}
	for index, smoothed := range r.smoothedValues(value) {
		line.points = append(line.points, plotter.XY{X: r.Samples[index].At.Seconds(), Y: smoothed})
	}
	return line
}

// setPointSeries returns a horizontal dashed line at a set point.
func (r *Response) setPointSeries(value float64) series {
	return series{
		name: "set point", colorIndex: colorVermillion, dashed: true,
		points: plotter.XYs{{X: 0, Y: value}, {X: responseDuration.Seconds(), Y: value}},
	}
}
