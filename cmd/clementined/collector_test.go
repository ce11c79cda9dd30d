package main

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// TestTuneCollector guards against a daemon that ignores the operator's GOGC, or that keeps the
// runtime's default.
func TestTuneCollector(t *testing.T) {
	is := is.New(t)
	const chosen = 150
	before := debug.SetGCPercent(chosen)
	defer debug.SetGCPercent(before)
	t.Setenv("GOGC", "150")
	configureGC(noMemoryLimit)
	is.Equal(debug.SetGCPercent(chosen), chosen)
	t.Setenv("GOGC", "")
	configureGC(noMemoryLimit)
	is.Equal(debug.SetGCPercent(before), gcPercent)
}
