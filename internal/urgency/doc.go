// Package urgency orders jobs that compete for capacity. It serves load beyond the capacity of
// the workers: the coordinator and all agents use the same order, so that on each worker the tasks of the same
// jobs come first and these jobs end, instead of all jobs progressing slowly and ending late. It is pure: times
// are passed in.
package urgency
