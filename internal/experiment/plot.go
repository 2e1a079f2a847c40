package experiment

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of one panel of a figure.
const (
	panelWidth  = 4.2 * vg.Inch
	panelHeight = 2.9 * vg.Inch
	panelGap    = 0.15 * vg.Inch
)

// Range of the latency axis of the placement figure, in milliseconds.
const (
	leastLatency = 50
	mostLatency  = 20_000
)

// legendRoom stretches the value axis so that the legend hides no line.
const legendRoom = 1.4

// palette are colors that stay apart for people who see few (Okabe and Ito).
var palette = []color.Color{
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
}

// series is one line of a panel.
type series struct {
	name   string
	points plotter.XYs
	// number picks the color, so that a name has one color in all panels.
	number int
	dashed bool
}

// panel makes one plot, with a legend if wanted.
func panel(title, x, y string, lines []series, legend bool) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for _, one := range lines {
		line, err := plotter.NewLine(one.points)
		if err != nil {
			return nil, fmt.Errorf("plotting %s: %w", one.name, err)
		}
		line.Color = palette[one.number%len(palette)]
		line.Width = vg.Points(1.6)
		if one.dashed {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			line.Width = vg.Points(0.9)
		}
		p.Add(line)
		if legend {
			p.Legend.Add(one.name, line)
		}
	}
	return p, nil
}

// figureCanvas is a canvas that can write itself to a file.
type figureCanvas interface {
	vg.CanvasSizer
	io.WriterTo
}

// newCanvas chooses the form by the file's name: PNG for ".png", else SVG.
func newCanvas(path string, width, height vg.Length) figureCanvas {
	if filepath.Ext(path) == ".png" {
		return vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	}
	return vgsvg.New(width, height)
}

// writeFigure puts rows of panels into one file.
func writeFigure(path string, rows [][]*plot.Plot) (err error) {
	columns := 0
	for _, row := range rows {
		columns = max(columns, len(row))
	}
	for index := range rows {
		for len(rows[index]) < columns {
			rows[index] = append(rows[index], nil)
		}
	}
	canvas := newCanvas(path, vg.Length(columns)*panelWidth, vg.Length(len(rows))*panelHeight)
	tiles := draw.Tiles{
		Rows: len(rows), Cols: columns, PadX: panelGap, PadY: panelGap,
		PadTop: panelGap, PadBottom: panelGap, PadLeft: panelGap, PadRight: panelGap,
	}
	for row, drawings := range plot.Align(rows, tiles, draw.New(canvas)) {
		for column, drawing := range drawings {
			if rows[row][column] != nil {
				rows[row][column].Draw(drawing)
			}
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("writing a figure: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	if _, err := canvas.WriteTo(file); err != nil {
		return fmt.Errorf("writing a figure: %w", err)
	}
	return nil
}

// PlotPlacement draws the first token's p95 and the prefix hit rate over the
// load, one column per deployment.
func PlotPlacement(path string, points []PlacementPoint) error {
	var deployments []string
	for _, point := range points {
		if len(deployments) == 0 || deployments[len(deployments)-1] != point.Deployment {
			deployments = append(deployments, point.Deployment)
		}
	}
	latency := make([]*plot.Plot, 0, len(deployments))
	hits := make([]*plot.Plot, 0, len(deployments))
	for _, deployment := range deployments {
		p95, err := panel(deployment, "load (% of capacity)", "first token p95 (ms)",
			placementSeries(points, deployment, func(r *Result) float64 { return 1000 * r.FirstTokenP95.Seconds() }), false)
		if err != nil {
			return err
		}
		p95.Y.Min, p95.Y.Max = leastLatency, mostLatency
		p95.Y.Scale = plot.LogScale{}
		p95.Y.Tick.Marker = plot.LogTicks{Prec: -1}
		latency = append(latency, p95)
		hit, err := panel("", "load (% of capacity)", "prefix hits (%)",
			placementSeries(points, deployment, func(r *Result) float64 { return 100 * r.HitRate }), true)
		if err != nil {
			return err
		}
		hit.Y.Min, hit.Y.Max = 0, 100
		hit.Legend.Top = false
		hits = append(hits, hit)
	}
	return writeFigure(path, [][]*plot.Plot{latency, hits})
}

func placementSeries(points []PlacementPoint, deployment string, value func(*Result) float64) []series {
	var lines []series
	for number, policy := range Policies() {
		line := series{name: policy.Name, number: number}
		for _, point := range points {
			if point.Deployment == deployment && point.Policy == policy.Name {
				line.points = append(line.points, plotter.XY{X: 100 * point.Load, Y: value(point.Result)})
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// PlotResponse draws utilization, first token, outcomes and cold replicas over
// the time, each beside its set point.
func PlotResponse(path string, r *Response) error {
	utilization := make([]series, 0, len(r.Regions)+1)
	for number, region := range r.Regions {
		utilization = append(utilization, r.line(region, number, func(s Sample) float64 { return s.Utilization[region] }))
	}
	utilization = append(utilization, r.setPoint(r.Limits.TargetUtilization))
	firstToken := []series{
		r.line("p95", 0, func(s Sample) float64 { return 1000 * s.FirstTokenP95.Seconds() }),
		r.setPoint(float64(r.Limits.FirstTokenMS)),
	}
	outcomes := []series{
		r.line("answers", 4, func(s Sample) float64 { return s.Answers }),
		r.line("refusals", 3, func(s Sample) float64 { return s.Refusals }),
		r.line("failures", 5, func(s Sample) float64 { return s.Failures }),
		r.line("spilled", 2, func(s Sample) float64 { return s.Spills }),
	}
	cold := []series{
		r.line("cold replicas", 2, func(s Sample) float64 { return float64(s.Cold) }),
		r.line("most in flight on one", 3, func(s Sample) float64 { return float64(s.ColdInFlight) }),
		r.line("its ramp", 0, func(s Sample) float64 { return float64(s.ColdLimit) }),
	}
	title := fmt.Sprintf("%s, %s", r.Deployment, r.Disturbance)
	definitions := []struct {
		title, y string
		lines    []series
	}{
		{title, "utilization", utilization},
		{"", "first token (ms)", firstToken},
		{"", "requests per second", outcomes},
		{"", "cold replicas and requests", cold},
	}
	rows := make([][]*plot.Plot, 2)
	for index, definition := range definitions {
		drawn, err := panel(definition.title, "time (s)", definition.y, definition.lines, true)
		if err != nil {
			return err
		}
		drawn.Y.Min = 0
		drawn.Y.Max = max(1, legendRoom*drawn.Y.Max)
		rows[index/2] = append(rows[index/2], drawn)
	}
	return writeFigure(path, rows)
}

// line is a smoothed value over the time.
func (r *Response) line(name string, number int, value func(Sample) float64) series {
	one := series{name: name, number: number}
	for index, smoothed := range r.values(value) {
		one.points = append(one.points, plotter.XY{X: r.Samples[index].At.Seconds(), Y: smoothed})
	}
	return one
}

func (r *Response) setPoint(value float64) series {
	return series{
		name: "set point", number: 3, dashed: true,
		points: plotter.XYs{{X: 0, Y: value}, {X: responseLength.Seconds(), Y: value}},
	}
}
