package main

import "context"

// agentCommand runs the agent role.
type agentCommand struct {
	Settings string `arg:"" help:"Path of the settings file."`
}

// Run serves until the context ends, then stops gracefully.
func (c *agentCommand) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
