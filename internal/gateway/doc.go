// Package gateway serves the callers of an entry: it stores jobs and cancellations, and returns the state of
// jobs and the length of queues.
package gateway
