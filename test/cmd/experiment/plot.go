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
	// smooth is over how many seconds goodput is averaged.
	smooth = 10
	// legendRoom is how much higher than its lines a panel is.
	legendRoom = 1.3
)

var (
	blue  = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	red   = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	green = color.RGBA{R: 44, G: 160, B: 44, A: 255}
	grey  = color.RGBA{R: 127, G: 127, B: 127, A: 255}
)

// plotted are the policies that a plot compares, each in its colour.
var plotted = map[string]color.RGBA{
	loadplay.OursName:   blue,
	loadplay.OracleName: green,
	loadplay.EagerName:  red,
	"fixed":             grey,
}

// panels are the mix, the prefill engines and the goodput of each
// policy over time.
func panels(run loadplay.Run) ([]*plot.Plot, error) {
	mix, roles, goodput := plot.New(), plot.New(), plot.New()
	mix.Title.Text = fmt.Sprintf("%s, %s, seed %d", run.Deployment.Name, run.Scenario.Name, run.Seed)
	mix.Y.Label.Text = "demand, engines"
	roles.Y.Label.Text = "prefill engines"
	goodput.Y.Label.Text = "goodput, engines"
	goodput.X.Label.Text = "seconds"
	for i, row := range run.Rows {
		colour, ok := plotted[row.Policy]
		if !ok {
			continue
		}
		course := run.Courses[i][:int(run.Scenario.Length.Seconds())]
		if row.Policy == loadplay.OursName {
			if err := addLine(mix, "prefill", blue, course, func(s loadplay.Sample) float64 { return s.NeedPrefill }); err != nil {
				return nil, err
			}
			if err := addLine(mix, "decode", red, course, func(s loadplay.Sample) float64 { return s.NeedDecode }); err != nil {
				return nil, err
			}
		}
		if err := addLine(roles, row.Policy, colour, course, func(s loadplay.Sample) float64 { return float64(s.Prefills) }); err != nil {
			return nil, err
		}
		if err := addLine(goodput, row.Policy, colour, average(course), func(s loadplay.Sample) float64 { return s.Goodput }); err != nil {
			return nil, err
		}
	}
	return []*plot.Plot{mix, roles, goodput}, nil
}

func addLine(p *plot.Plot, name string, c color.Color, course []loadplay.Sample, y func(loadplay.Sample) float64) error {
	points := make(plotter.XYs, len(course))
	for i, s := range course {
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

func average(course []loadplay.Sample) []loadplay.Sample {
	averaged := append([]loadplay.Sample(nil), course...)
	for i := range averaged {
		from := max(0, i-smooth+1)
		sum := 0.0
		for _, s := range course[from : i+1] {
			sum += s.Goodput
		}
		averaged[i].Goodput = sum / float64(i+1-from)
	}
	return averaged
}

// writePlot writes one image per run into the directory.
func writePlot(dir string, run loadplay.Run) error {
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
		p.Y.Max *= legendRoom
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
