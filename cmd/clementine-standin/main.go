// Command clementine-standin runs stand-ins for the platform's store and for a worker with its
// runtime and target. It is for tests and the demo and is never shipped.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine is the command line of clementine-standin.
type commandLine struct {
	Store  storeCommand  `cmd:"" help:"Run the stand-in for the platform's key-value service."`
	Worker workerCommand `cmd:"" help:"Run the stand-in for a worker's runtime and target."`
}

func main() {
	var line commandLine
	parser := kong.Parse(&line, kong.Name("clementine-standin"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}
