// Package slopes fits straight lines to measurements taken at several sizes.
package slopes

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrFormat reports a table that cannot be fitted.
var ErrFormat = errors.New("slopes: malformed table")

// Line is the least-squares line of one column as a function of the first column, the size.
type Line struct {
	Column           string
	Intercept, Slope float64
	// Fit is the coefficient of determination, 1 for points on a line.
	Fit float64
}

// At returns the value of the line at the given size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit reads a table with a header, columns separated by white space and the size in the first column,
// and returns a line for each other column. It returns ErrFormat for a malformed table, a table without a
// second column, or fewer than two distinct sizes.
func Fit(table io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(table)
	if !scanner.Scan() {
		return nil, errors.Wrap(ErrFormat, "no header")
	}
	header := strings.Fields(scanner.Text())
	columns := make([][]float64, len(header))
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) != len(header) {
			return nil, errors.Wrapf(ErrFormat, "row has %d fields, header has %d", len(fields), len(header))
		}
		for index, field := range fields {
			value, err := strconv.ParseFloat(field, 64)
			if err != nil {
				return nil, errors.Wrap(ErrFormat, err.Error())
			}
			columns[index] = append(columns[index], value)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "slopes: read")
	}
	return fitColumns(header, columns)
}

func fitColumns(header []string, columns [][]float64) ([]Line, error) {
	if len(columns) < 2 || deviationProduct(columns[0], columns[0]) == 0 {
		return nil, errors.Wrap(ErrFormat, "at least two columns and two distinct sizes are required")
	}
	lines := make([]Line, 0, len(columns)-1)
	for index := 1; index < len(columns); index++ {
		line := fitLine(columns[0], columns[index])
		line.Column = header[index]
		lines = append(lines, line)
	}
	return lines, nil
}

// fitLine returns the least-squares line of y as a function of x.
func fitLine(x, y []float64) Line {
	xx, xy, yy := deviationProduct(x, x), deviationProduct(x, y), deviationProduct(y, y)
	line := Line{Slope: xy / xx, Fit: 1}
	line.Intercept = mean(y) - line.Slope*mean(x)
	if yy > 0 {
		line.Fit = xy * xy / (xx * yy)
	}
	return line
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// deviationProduct returns the sum of the products of the deviations from the means; it is not divided
// by the number of values.
func deviationProduct(x, y []float64) float64 {
	meanX, meanY, sum := mean(x), mean(y), 0.0
	for index := range x {
		sum += (x[index] - meanX) * (y[index] - meanY)
	}
	return sum
}
