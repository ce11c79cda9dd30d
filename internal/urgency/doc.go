// Package urgency orders jobs that compete for capacity. It answers load beyond the capacity of
// the workers: the jobs that come first get the room until they end, instead of all jobs progressing slowly and
// ending late. It is pure: times are passed in.
package urgency
