package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOutageLetsProbesThrough guards against hand-ins that are all held, or all written without an answer,
// while the store is known to be away, and against a return of the store that is not noticed.
func TestOutageLetsProbesThrough(t *testing.T) {
	is := is.New(t)
	o := &outage{}
	now := time.Unix(1000, 0)
	is.True(o.allow(now))
	is.True(!o.note(true, now)) // a short failure is waited out
	now = now.Add(refuseAfter)
	is.True(o.note(true, now))
	allowed := 0
	for range 100 {
		now = now.Add(probeInterval / 50)
		if o.allow(now) {
			allowed++
		}
	}
	is.True(allowed >= 2 && allowed <= 3) // in twice the interval
	is.True(!o.note(false, now))
	is.True(o.allow(now))
}
