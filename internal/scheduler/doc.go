// Package scheduler decides which worker runs which task. It is pure: a Snapshot goes in and a Plan
// with reasons comes out; times are passed in and random numbers come from a seeded source.
package scheduler
