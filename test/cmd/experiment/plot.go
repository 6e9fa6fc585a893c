package main

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"pistachioroad.dev/pistachioroad/test/loadplay"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	// smoothingWindow is the number of seconds that goodput is averaged over.
	smoothingWindow = 10
	// legendScale extends the y axis so that the legend does not cover the lines.
	legendScale = 1.3
)

var (
	blue  = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	red   = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	green = color.RGBA{R: 44, G: 160, B: 44, A: 255}
	grey  = color.RGBA{R: 127, G: 127, B: 127, A: 255}
)

// policyColours are the policies that a plot compares, with their colours.
var policyColours = map[string]color.RGBA{
	loadplay.ProductionName: blue,
	loadplay.OracleName:     green,
	loadplay.EagerName:      red,
	"fixed":                 grey,
}

// panels plots, over time, the demand for prefill and decode as measured under the
// production policy, and the prefill engines and the goodput of each policy.
func panels(run loadplay.Comparison) ([]*plot.Plot, error) {
	mix, roles, goodput := plot.New(), plot.New(), plot.New()
	mix.Title.Text = fmt.Sprintf("%s, %s, seed %d", run.Deployment.Name, run.Scenario.Name, run.Seed)
	mix.Y.Label.Text = "demand, engines"
	roles.Y.Label.Text = "prefill engines"
	goodput.Y.Label.Text = "goodput, engines"
	goodput.X.Label.Text = "seconds"
	for i, row := range run.Rows {
		colour, ok := policyColours[row.Policy]
		if !ok {
			continue
		}
		samples := run.TimeSeries[i][:int(run.Scenario.Duration.Seconds())]
		if row.Policy == loadplay.ProductionName {
			if err := addLine(mix, "prefill", blue, samples, func(s loadplay.Sample) float64 { return s.PrefillDemand }); err != nil {
				return nil, err
			}
			if err := addLine(mix, "decode", red, samples, func(s loadplay.Sample) float64 { return s.DecodeDemand }); err != nil {
				return nil, err
			}
		}
		if err := addLine(roles, row.Policy, colour, samples, func(s loadplay.Sample) float64 { return float64(s.PrefillEngines) }); err != nil {
			return nil, err
		}
		if err := addLine(goodput, row.Policy, colour, movingAverage(samples), func(s loadplay.Sample) float64 { return s.Goodput }); err != nil {
			return nil, err
		}
	}
	return []*plot.Plot{mix, roles, goodput}, nil
}

func addLine(p *plot.Plot, name string, c color.Color, samples []loadplay.Sample, y func(loadplay.Sample) float64) error {
	points := make(plotter.XYs, len(samples))
	for i, s := range samples {
		points[i] = plotter.XY{X: s.At.Seconds(), Y: y(s)}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	p.Legend.Top = true
	p.Y.Min = 0
	return nil
}

func movingAverage(samples []loadplay.Sample) []loadplay.Sample {
	averaged := append([]loadplay.Sample(nil), samples...)
	for i := range averaged {
		from := max(0, i-smoothingWindow+1)
		sum := 0.0
		for _, s := range samples[from : i+1] {
			sum += s.Goodput
		}
		averaged[i].Goodput = sum / float64(i+1-from)
	}
	return averaged
}

// writePlot writes the plot of a run into the directory, as a PNG image.
func writePlot(dir string, run loadplay.Comparison) error {
	plots, err := panels(run)
	if err != nil {
		return err
	}
	image := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Millimeter}
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	for _, p := range plots {
		p.Y.Max *= legendScale
	}
	for i, canvas := range plot.Align(rows, tiles, draw.New(image)) {
		plots[i].Draw(canvas[0])
	}
	name := fmt.Sprintf("%s-%s.png", run.Deployment.Name, run.Scenario.Name)
	file, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
