package ingress

import (
	"context"
	"io"
	"time"

	"golang.org/x/time/rate"
)

// Rates for each whole processor that the process may use. Together they take about half of its time.
const (
	acceptsPerProcessor   = 5_000    // connections per second
	requestsPerProcessor  = 20_000   // requests per second
	bodyBytesPerProcessor = 32 << 20 // bytes per second, of bodies longer than smallBodyBytes
)

const (
	// minPerSecond is the smallest rate of connections and requests, and minBodyBytesPerSecond that of bodies.
	minPerSecond          = 50
	minBodyBytesPerSecond = 1 << 20
	// burstTime is the time for whose share of the rates a listener accepts at once.
	burstTime = time.Second
	// smallBodyBytes is the length up to which bodies are not limited, so that short requests don't wait for long ones.
	smallBodyBytes = 16 << 10
	// bodyWait is the longest time that a long body waits before it is read. Without a place it is refused at once.
	bodyWait = 500 * time.Millisecond
)

// rateLimits bound the processor time that the callers of a listener take: those beyond the rates wait in the order of their
// arrival, so that one connection can't take more than others. Nil limits don't bound anything. They are safe
// for concurrent use.
type rateLimits struct {
	accepts, requests, bodies *rate.Limiter
}

// newRateLimits returns the rate limits of a listener that may use a number of processors, or nil if that is zero.
func newRateLimits(processors float64) *rateLimits {
	if processors <= 0 {
		return nil
	}
	return &rateLimits{
		accepts:  newLimiter(processors*acceptsPerProcessor, minPerSecond),
		requests: newLimiter(processors*requestsPerProcessor, minPerSecond),
		bodies:   newLimiter(processors*bodyBytesPerProcessor, minBodyBytesPerSecond),
	}
}

func newLimiter(perSecond, smallest float64) *rate.Limiter {
	perSecond = max(perSecond, smallest)
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*burstTime.Seconds()))
}

// awaitAccept waits until the next connection may be accepted.
func (r *rateLimits) awaitAccept() {
	if r != nil {
		time.Sleep(r.accepts.Reserve().Delay())
	}
}

// awaitRequest waits until the next request may be read.
func (r *rateLimits) awaitRequest() {
	if r != nil {
		time.Sleep(r.requests.Reserve().Delay())
	}
}

// awaitBody waits until a body of the length may be read. It returns ErrBusy at once if that would take too long.
func (r *rateLimits) awaitBody(length int) error {
	if r == nil || length <= smallBodyBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), bodyWait)
	defer cancel()
	if r.bodies.WaitN(ctx, min(length, r.bodies.Burst())) != nil {
		return ErrBusy
	}
	return nil
}

// chunkedReader reads a body of unknown length. Once it is longer than smallBodyBytes, it counts as one of the limit.
type chunkedReader struct {
	stream  io.Reader
	rates   *rateLimits
	limit   int
	read    int
	charged bool
}

// Read implements io.Reader. It returns ErrBusy if a long body would have to wait for too long.
func (r *chunkedReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.read += n
	if r.charged || r.read <= smallBodyBytes {
		return n, err
	}
	r.charged = true
	if busy := r.rates.awaitBody(r.limit); busy != nil {
		return n, busy
	}
	return n, err
}
