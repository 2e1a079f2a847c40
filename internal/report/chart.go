package report

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

// Dimensions of a chart, in pixels.
const (
	chartWidth  = 1000
	chartHeight = 150
	chartLeft   = 60
	chartTop    = 14
	chartBottom = 24
)

// chart is one inline SVG with a horizontal axis in seconds.
type chart struct {
	title   string
	unit    string
	count   int     // seconds on the horizontal axis
	maximum float64 // of the vertical axis
	body    strings.Builder
	legend  []string
}

func newChart(title, unit string, count int, maximum float64) *chart {
	return &chart{title: title, unit: unit, count: max(1, count), maximum: axisMaximum(maximum)}
}

// axisMaximum rounds a value up to the next 1, 2 or 5 times a power of ten.
func axisMaximum(value float64) float64 {
	if value <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, step := range []float64{1, 2, 5, 10} {
		if value <= step*power {
			return step * power
		}
	}
	return value
}

func (c *chart) x(at float64) float64 {
	return chartLeft + at*float64(chartWidth-chartLeft)/float64(c.count)
}

func (c *chart) y(value float64) float64 {
	return chartTop + float64(chartHeight)*(1-math.Min(1, value/c.maximum))
}

// bar draws a bar of one second between two values.
func (c *chart) bar(at int, from, to float64, color string) {
	if to <= from {
		return
	}
	fmt.Fprintf(&c.body, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
		c.x(float64(at))+0.3, c.y(to), c.x(1)-c.x(0)-0.6, c.y(from)-c.y(to), color)
}

// curve draws a line through one value per second and skips seconds whose value is NaN.
func (c *chart) curve(values []float64, color string) {
	var points []string
	for i, value := range values {
		if !math.IsNaN(value) {
			points = append(points, fmt.Sprintf("%.1f,%.1f", c.x(float64(i)+0.5), c.y(value)))
		}
	}
	fmt.Fprintf(&c.body, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.6"/>`, strings.Join(points, " "), color)
}

// addLegend adds the label and color of a series to the legend.
func (c *chart) addLegend(label, color string) {
	c.legend = append(c.legend, fmt.Sprintf(`<span><i style="background:%s"></i>%s</span>`, color, template.HTMLEscapeString(label)))
}

// marker marks a fault or an acknowledged operation on the time axis.
type marker struct {
	at    float64 // seconds from the start of the run
	label string
	color string
}

// render returns the chart with its axes and numbered markers.
func (c *chart) render(markers []marker) template.HTML {
	var out strings.Builder
	height := chartTop + chartHeight + chartBottom
	fmt.Fprintf(&out, `<h3>%s <small>%s</small></h3><p class="legend">%s</p>`, template.HTMLEscapeString(c.title), c.unit, strings.Join(c.legend, " "))
	fmt.Fprintf(&out, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, chartWidth, height, template.HTMLEscapeString(c.title))
	c.writeAxes(&out, height)
	out.WriteString(c.body.String())
	c.writeMarkers(&out, markers)
	out.WriteString(`</svg>`)
	return template.HTML(out.String())
}

// Divisions of the axes.
const (
	gridLines  = 4
	timeLabels = 12
)

func (c *chart) writeAxes(out io.Writer, height int) {
	for i := 0; i <= gridLines; i++ {
		value := c.maximum * float64(i) / gridLines
		fmt.Fprintf(out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.4g</text>`,
			chartLeft, chartWidth, c.y(value), c.y(value), chartLeft-6, c.y(value)+4, value)
	}
	for at := 0; at <= c.count; at += max(1, c.count/timeLabels) {
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%d s</text>`, c.x(float64(at)), height-6, at)
	}
}

func (c *chart) writeMarkers(out io.Writer, markers []marker) {
	for i, mark := range markers {
		fmt.Fprintf(out, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="%s" stroke-dasharray="3 3"><title>%s</title></line>`,
			c.x(mark.at), c.x(mark.at), chartTop, chartTop+chartHeight, mark.color, template.HTMLEscapeString(mark.label))
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle" style="fill:%s">%d</text>`, c.x(mark.at), chartTop-3, mark.color, i+1)
	}
}
