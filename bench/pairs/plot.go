package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// The plot is plotWidth wide, and plotRow high for each version plus plotFrame for
	// title and axis.
	plotWidth = 18 * vg.Centimeter
	plotRow   = 0.7 * vg.Centimeter
	plotFrame = 3 * vg.Centimeter
)

// series holds the points of the plot with the half widths of their confidence intervals.
type series struct {
	plotter.XYs
	plotter.XErrors
}

// draw writes a plot of each version's mean difference from the base, with its confidence interval.
func draw(file, name string, labels []string, pairs map[string][]pair) error {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "worth against the base"
	data := series{XYs: make(plotter.XYs, len(labels)), XErrors: make(plotter.XErrors, len(labels))}
	for i, label := range labels {
		s := spreadOf(differences(pairs[label], worthOf))
		data.XYs[i] = plotter.XY{X: s.Mean, Y: float64(i)}
		data.XErrors[i].Low, data.XErrors[i].High = s.Half, s.Half
	}
	points, err := plotter.NewScatter(data.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewXErrorBars(data)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), points, bars)
	p.NominalY(labels...)
	return p.Save(plotWidth, plotFrame+plotRow*vg.Length(len(labels)), file)
}
