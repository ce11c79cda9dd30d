// Package scheduler decides which worker runs which task. It computes a Plan with reasons from a
// Snapshot and has no side effects: the caller passes in the time and a seeded random source.
package scheduler
