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

// Dimensions of the panels of a figure.
const (
	panelWidth  = 4.2 * vg.Inch
	panelHeight = 2.9 * vg.Inch
	panelGap    = 0.15 * vg.Inch
)

// Indexes into palette.
const (
	colorGray = iota
	colorOrange
	colorSkyBlue
	colorVermillion
	colorGreen
	colorPurple
)

// palette is the color-blind safe palette of Okabe and Ito.
var palette = []color.Color{
	colorGray:       color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	colorOrange:     color.RGBA{R: 0xe6, G: 0x9f, A: 0xff},
	colorSkyBlue:    color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	colorVermillion: color.RGBA{R: 0xd5, G: 0x5e, A: 0xff},
	colorGreen:      color.RGBA{G: 0x9e, B: 0x73, A: 0xff},
	colorPurple:     color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
}

// series is one line of a panel.
type series struct {
	name   string
	points plotter.XYs
	// colorIndex is the index of the color in the palette. It is explicit, so that a
	// series can have the same color in all panels.
	colorIndex int
	dashed     bool
}

// newPanel returns a plot of the lines with the given title and axis labels.
func newPanel(title, x, y string, lines []series, legend bool) (*plot.Plot, error) {
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
		line.Color = palette[one.colorIndex%len(palette)]
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

// figureCanvas is a canvas that can be written to a file.
type figureCanvas interface {
	vg.CanvasSizer
	io.WriterTo
}

// newCanvas returns a PNG canvas if the path ends in ".png", and an SVG canvas otherwise.
func newCanvas(path string, width, height vg.Length) figureCanvas {
	if filepath.Ext(path) == ".png" {
		return vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	}
	return vgsvg.New(width, height)
}

// writeFigure writes rows of panels to a file. The tile of a nil panel is left empty.
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
