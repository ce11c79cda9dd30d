package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

// TestLeaseEndsWithTheAuthority guards against a lease that, on a worker with a slow clock, lasts until after
// the coordinator treats the worker's tasks as ended.
func TestLeaseEndsWithTheAuthority(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{minClockRate, 0.99, 1} {
		for _, delay := range []time.Duration{0, time.Second, 3 * time.Second} {
			l := runLease{authorizedUntil: 10 * time.Second}
			readAt, clock := 2*time.Second, 500*time.Second
			l.observeClock(clock, readAt)
			leaseEnd, ok := l.extend(readAt+delay, 8*time.Second)
			is.True(ok)
			// ends is when the worker's clock reaches the end of the lease.
			ends := readAt + time.Duration(float64(leaseEnd-clock)/rate)
			is.True(ends <= l.endsBy)
			is.True(l.endsBy <= l.authorizedUntil)
		}
	}
}

// TestLeaseWithoutAuthority guards against a lease that is extended without an acknowledged ping or without
// a reading of the worker's clock.
func TestLeaseWithoutAuthority(t *testing.T) {
	is := is.New(t)
	l := runLease{}
	l.observeClock(time.Second, time.Second)
	_, ok := l.extend(2*time.Second, time.Second)
	is.True(!ok)
	l = runLease{authorizedUntil: time.Minute}
	_, ok = l.extend(2*time.Second, time.Second)
	is.True(!ok)
}

// TestEndsAreConfirmedInOrder guards against confirming an end that the coordinator has not recorded.
func TestEndsAreConfirmedInOrder(t *testing.T) {
	is := is.New(t)
	l := newEndList()
	is.Equal(len(l.addNew(endRows(5, 6, 7))), 3)
	is.Equal(l.confirmedUpTo, uint64(4)) // the agent's previous process confirmed the first four
	l.markRecorded([]uint64{6})
	is.Equal(l.confirmedUpTo, uint64(4))
	is.Equal(len(l.unrecordedRows()), 2)
	l.markRecorded([]uint64{5})
	is.Equal(l.confirmedUpTo, uint64(6))
	is.Equal(len(l.addNew(endRows(5, 6, 7, 8))), 1)
	is.Equal(len(l.unconfirmedRows()), 2)
}

func endRows(numbers ...uint64) []wire.EndRow {
	var result []wire.EndRow
	for _, number := range numbers {
		result = append(result, wire.EndRow{Number: number, Task: "t", Run: uint32(number)})
	}
	return result
}
