// Package jobworker provides an in-memory stand-in for a worker that runs the tasks of jobs: it keeps a
// lease, rejects old fences and runs, lists ends until they are confirmed, and injects faults on demand. It
// is for tests only.
package jobworker
