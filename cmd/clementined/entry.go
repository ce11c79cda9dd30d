package main

import "context"

// entryCommand runs the entry role.
type entryCommand struct {
	Settings string `arg:"" help:"Path of the settings file."`
}

// Run serves until the context ends, then stops gracefully.
func (c *entryCommand) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
