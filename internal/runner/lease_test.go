package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

// TestLeaseEndsWithTheAuthority guards against a lease that a slow clock keeps alive after the
// coordinator takes the worker's tasks as ended.
func TestLeaseEndsWithTheAuthority(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{slowestClockRate, 0.99, 1} {
		for _, delay := range []time.Duration{0, time.Second, 3 * time.Second} {
			l := runLease{authority: 10 * time.Second}
			readAt, clock := 2*time.Second, 500*time.Second
			l.observe(clock, readAt)
			due, ok := l.extend(readAt+delay, 8*time.Second)
			is.True(ok)
			// The time at which the worker's clock reaches the due time.
			ends := readAt + time.Duration(float64(due-clock)/rate)
			is.True(ends <= l.limit)
			is.True(l.limit <= l.authority)
		}
	}
}

// TestLeaseWithoutAuthority guards against a lease that is extended without an acknowledged ping or
// without knowledge of the worker's clock.
func TestLeaseWithoutAuthority(t *testing.T) {
	is := is.New(t)
	l := runLease{}
	l.observe(time.Second, time.Second)
	_, ok := l.extend(2*time.Second, time.Second)
	is.True(!ok)
	l = runLease{authority: time.Minute}
	_, ok = l.extend(2*time.Second, time.Second)
	is.True(!ok)
}

// TestEndsAreConfirmedInOrder guards against the confirmation of an end that was not recorded.
func TestEndsAreConfirmedInOrder(t *testing.T) {
	is := is.New(t)
	l := newEndList()
	is.Equal(len(l.add(rows(5, 6, 7))), 3)
	is.Equal(l.confirmedUpTo, uint64(4)) // the first four were confirmed by an earlier life of the agent
	l.record([]uint64{6})
	is.Equal(l.confirmedUpTo, uint64(4))
	is.Equal(len(l.unrecorded()), 2)
	l.record([]uint64{5})
	is.Equal(l.confirmedUpTo, uint64(6))
	is.Equal(len(l.add(rows(5, 6, 7, 8))), 1)
	is.Equal(len(l.pending()), 2)
}

func rows(numbers ...uint64) []wire.EndRow {
	var result []wire.EndRow
	for _, number := range numbers {
		result = append(result, wire.EndRow{Number: number, Task: "t", Run: uint32(number)})
	}
	return result
}
