package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOutageLetsProbesThrough guards against an outage during which all submissions are refused or all are
// attempted, and against submissions still refused after the store has recovered.
func TestOutageLetsProbesThrough(t *testing.T) {
	is := is.New(t)
	o := &outage{}
	now := time.Unix(1000, 0)
	is.True(o.allowAttempt(now))
	is.True(!o.recordAttempt(true, now)) // a short failure is no outage yet
	now = now.Add(refuseAfter)
	is.True(o.recordAttempt(true, now))
	allowed := 0
	for range 100 {
		now = now.Add(probeInterval / 50)
		if o.allowAttempt(now) {
			allowed++
		}
	}
	is.True(allowed >= 2 && allowed <= 3) // the loop covers two probe intervals
	is.True(!o.recordAttempt(false, now))
	is.True(o.allowAttempt(now))
}
