// Package jobworker is a stand-in for a worker that runs the tasks of jobs: it keeps a lease, refuses old
// fences and runs, lists ends until they are confirmed, and fails on demand. It is for tests only.
package jobworker
