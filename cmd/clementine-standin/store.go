package main

import "context"

// storeCommand runs the store stand-in.
type storeCommand struct{}

// Run serves until the context ends.
func (c *storeCommand) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
