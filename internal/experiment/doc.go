// Package experiment compares the product's decisions with plain ones. Both get the same seeded
// requests and jobs on small stand-in workers in virtual time. The slowdown between task classes is
// hidden from the decisions, which see late usage and latency reports only.
package experiment
