// Package planner makes the coordinator's decisions about jobs of steps: which task runs where, what
// becomes of a run that ended or of a worker that is lost, and what must be recorded before an order
// goes out. It is pure: times are passed in, and its output is records to commit and messages to send.
package planner
