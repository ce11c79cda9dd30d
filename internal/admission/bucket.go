package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. Its burst is one second's worth of tokens, at least one token.
type bucket struct {
	tokens float64
	at     time.Time
}

// newBucket returns a full bucket.
func newBucket(now time.Time, rate float64) bucket {
	return bucket{tokens: burst(rate), at: now}
}

// burst returns the capacity of a bucket with the rate.
func burst(rate float64) float64 { return math.Max(1, rate) }

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens = math.Min(burst(rate), b.tokens+elapsed*rate)
		b.at = now
	}
}

// wait returns how long until a token is there; zero if one is there now.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
