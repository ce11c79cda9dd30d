package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. Its capacity is the number of tokens added in one second, at least one.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// newBucket returns a full bucket.
func newBucket(now time.Time, rate float64) bucket {
	return bucket{tokens: bucketCapacity(rate), refilledAt: now}
}

// bucketCapacity returns the capacity of a bucket that is refilled at the rate, in tokens per second.
func bucketCapacity(rate float64) float64 { return math.Max(1, rate) }

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens = math.Min(bucketCapacity(rate), b.tokens+elapsed*rate)
		b.refilledAt = now
	}
}

// timeToToken returns the time until a token is available; zero if one is available now.
func (b *bucket) timeToToken(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
