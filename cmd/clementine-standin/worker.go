package main

import "context"

// workerCommand runs the worker stand-in.
type workerCommand struct{}

// Run serves until the context ends.
func (c *workerCommand) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
