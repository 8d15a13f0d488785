package capacity

import (
	"bytes"
	"cmp"
	"fmt"

	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotColumns = 3
	plotWidth   = 9 * vg.Centimeter
	plotHeight  = 6 * vg.Centimeter
	plotPad     = 6 * vg.Millimeter
	smallText   = font.Length(7)
)

// Plots returns an SVG file for each role that has series, by file name. It shows the points and the fitted line of
// each series. Equal runs give equal bytes.
func Plots(runs *Runs) (map[string][]byte, error) {
	out := map[string][]byte{}
	for _, r := range roles() {
		var fitted []FittedSeries
		for _, s := range runs.AllSeries() {
			if strings.HasPrefix(s.Name, r.prefix) {
				fitted = append(fitted, s)
			}
		}
		if len(fitted) == 0 {
			continue
		}
		svg, err := drawSeries(fitted)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.name, err)
		}
		out[r.plotFile()] = svg
	}
	return out, nil
}

func (r role) plotFile() string { return strings.TrimSuffix(r.prefix, ".") + ".svg" }

// plotSection returns the section of the page that shows the plots.
func plotSection(runs *Runs) (string, error) {
	plots, err := Plots(runs)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, r := range roles() {
		if _, ok := plots[r.plotFile()]; ok {
			fmt.Fprintf(&b, "![slopes of %s](capacity/plots/%s)\n", r.name, r.plotFile())
		}
	}
	if b.Len() == 0 {
		return "None yet.\n", nil
	}
	return b.String(), nil
}

func drawSeries(fitted []FittedSeries) ([]byte, error) {
	rows := (len(fitted) + plotColumns - 1) / plotColumns
	canvas := vgsvg.New(plotColumns*plotWidth, vg.Length(rows)*plotHeight)
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: plotPad, PadY: plotPad, PadTop: plotPad, PadBottom: plotPad, PadLeft: plotPad, PadRight: plotPad}
	page := draw.New(canvas)
	for i, s := range fitted {
		p, err := seriesPlot(s)
		if err != nil {
			return nil, err
		}
		p.Draw(tiles.At(page, i%plotColumns, i/plotColumns))
	}
	var b bytes.Buffer
	_, err := canvas.WriteTo(&b)
	return b.Bytes(), err
}

// seriesPlot plots the points and the fitted line of one series.
func seriesPlot(s FittedSeries) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.X, s.YUnit
	for _, style := range []*font.Length{&p.Title.TextStyle.Font.Size, &p.X.Label.TextStyle.Font.Size, &p.Y.Label.TextStyle.Font.Size,
		&p.X.Tick.Label.Font.Size, &p.Y.Tick.Label.Font.Size} {
		*style = smallText
	}
	points := make(plotter.XYs, len(s.Points))
	for i, x := range s.Points {
		points[i] = plotter.XY{X: x.X, Y: x.Y}
	}
	slices.SortStableFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	first, last := points[0].X, points[len(points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: s.Fit.At(first)}, {X: last, Y: s.Fit.At(last)}})
	if err != nil {
		return nil, err
	}
	p.Add(plotter.NewGrid(), line, scatter)
	p.Y.Min = min(p.Y.Min, 0)
	return p, nil
}
