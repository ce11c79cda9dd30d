// Command clementined is the daemon; its subcommand selects the role.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine is the command line of clementined.
type commandLine struct {
	Agent agentCommand `cmd:"" help:"Run the agent beside a target."`
	Entry entryCommand `cmd:"" help:"Run an entry."`
}

func main() {
	var line commandLine
	parser := kong.Parse(&line, kong.Name("clementined"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}
