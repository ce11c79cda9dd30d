// Package gateway answers callers at an entry: it takes in jobs, cancels them, and tells their state and
// the length of queues.
package gateway
