// Command clementine-standin runs stand-ins for the platform's store, for a worker with its runtime and
// target, and for callers. It is for tests and the demo and is never shipped.
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

	Request requestCommand `cmd:"" help:"Send one request as a caller."`
	Load    loadCommand    `cmd:"" help:"Send many requests as callers and report outcomes and latencies."`

	Experiment experimentCommand `cmd:"" help:"Compare the decisions with plain ones in virtual time."`
}

func main() {
	var line commandLine
	parser := kong.Parse(&line, kong.Name("clementine-standin"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}
