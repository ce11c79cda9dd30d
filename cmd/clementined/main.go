// Command clementined is the daemon; its subcommand selects the role.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine is the command line of clementined.
type commandLine struct {
	Agent   agentCommand   `cmd:"" help:"Run the agent beside a target."`
	Entry   entryCommand   `cmd:"" help:"Run an entry."`
	Check   checkCommand   `cmd:"" help:"Check a settings file; exit with 0 if it is valid, 2 if not."`
	Version versionCommand `cmd:"" help:"Print the version."`

	PlatformEntry platformEntryCommand `cmd:"" help:"Run an entry on the users' platform."`
	PlatformAgent platformAgentCommand `cmd:"" help:"Run the agent beside a worker on the users' platform."`
}

func main() {
	var line commandLine
	parser := kong.Parse(&line, kong.Name("clementined"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.BindTo(os.Stdout, (*io.Writer)(nil))
	parser.FatalIfErrorf(parser.Run())
}
