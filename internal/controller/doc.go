// Package controller schedules the tasks of the shards that an entry owns. It takes a snapshot of
// tasks and workers, computes a plan with the scheduler, commits the plan through the shards and
// sends messages to the workers only after the commit.
package controller
