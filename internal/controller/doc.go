// Package controller drives the owned shards: it takes a snapshot, asks the scheduler for a plan,
// commits the plan through the shards and only then sends messages to the workers.
package controller
