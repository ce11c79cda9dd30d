// Package caller is a stand-in for the callers of a service: it sends requests over HTTP to an entry,
// or directly to a target for comparison, and reports outcomes and latencies.
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
	// Idempotent says whether the requests are idempotent; nil selects the entry's default.
	Idempotent *bool
	// Priority and Team are sent as headers if they are not empty.
	Priority string
	Team     string
	// Rate is the number of requests per second of an open loop; zero selects a closed loop.
	Rate float64
	// Concurrency is the number of requests in flight in a closed loop, and their maximum in an open loop.
	Concurrency int
	// Duration is how long requests are sent.
	Duration time.Duration
}
