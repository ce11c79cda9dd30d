// Package caller is a stand-in for the callers of a service: it sends requests over HTTP to an entry,
// or straight to a target for comparison, and reports outcomes and latencies.
package caller

import "time"

// Config describes the requests to send.
type Config struct {
	// URLs are the full request URLs; requests are spread over them in turn.
	URLs []string
	// Method is the HTTP method.
	Method string
	// Body is the request body.
	Body []byte
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Idempotent marks the requests; nil leaves the entry's default.
	Idempotent *bool
	// Priority and Team are sent if not empty.
	Priority string
	Team     string
	// Rate is the number of requests a second for an open loop; zero selects a closed loop.
	Rate float64
	// Concurrency is the number of requests in flight in a closed loop, and the limit of an open one.
	Concurrency int
	// Duration is how long requests are sent.
	Duration time.Duration
}
