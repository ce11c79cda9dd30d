package slopes

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFit guards against an inexact fit of points that lie on a line, and against accepting a malformed
// table or one with fewer than two columns or distinct sizes.
func TestFit(t *testing.T) {
	is := is.New(t)
	lines, err := Fit(strings.NewReader("agents cpu flat\n5 11 3\n11 23 3\n50 101 3\n"))
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Column, "cpu")
	is.True(math.Abs(lines[0].At(265)-531) < 1e-9)
	is.True(math.Abs(lines[0].Fit-1) < 1e-9)
	is.Equal(lines[1].Slope, 0.0)
	for _, table := range []string{"", "agents\n5\n", "agents cpu\n5 1\n5 2\n", "agents cpu\n5\n", "agents cpu\n5 x\n"} {
		_, err := Fit(strings.NewReader(table))
		is.True(errors.Is(err, ErrFormat))
	}
}
