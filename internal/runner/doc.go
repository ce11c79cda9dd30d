// Package runner implements the agent's side of running jobs: it extends the worker's lease, starts and
// stops runs on the coordinator's orders, reports how runs end, and throttles fillers so that runs with a
// latency target keep it.
package runner
