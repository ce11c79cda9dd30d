package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"clementineflow/internal/standin/slopes"
)

// slopesCommand fits a line to each column of a table.
type slopesCommand struct {
	File string    `arg:"" help:"Table with a header line and the size in the first column."`
	At   []float64 `default:"11,265" help:"Sizes at which the lines are evaluated."`
}

// Run prints one line for each column.
func (c *slopesCommand) Run() error {
	file, err := os.Open(c.File)
	if err != nil {
		return errors.Wrap(err, "open the table")
	}
	defer func() { _ = file.Close() }()
	lines, err := slopes.Fit(file)
	if err != nil {
		return err
	}
	output := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(output, "figure\tintercept\tslope\tR2")
	for _, size := range c.At {
		_, _ = fmt.Fprintf(output, "\tat %g", size)
	}
	_, _ = fmt.Fprintln(output)
	for _, line := range lines {
		_, _ = fmt.Fprintf(output, "%s\t%.4g\t%.4g\t%.3f", line.Column, line.Intercept, line.Slope, line.Fit)
		for _, size := range c.At {
			_, _ = fmt.Fprintf(output, "\t%.4g", line.At(size))
		}
		_, _ = fmt.Fprintln(output)
	}
	return errors.Wrap(output.Flush(), "write the lines")
}
