// Package planner makes the coordinator's scheduling decisions: on which worker a task runs, how the end of a
// run or the loss of a worker is handled, and what must be recorded before an order is sent. It performs no
// input or output and reads no clock: times are passed in, and it returns records to commit and messages to
// send.
package planner
