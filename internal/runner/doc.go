// Package runner is the agent's part of running jobs: it holds the worker's lease, starts and stops
// runs on the coordinator's orders, reports their ends, and paces fillers.
package runner
