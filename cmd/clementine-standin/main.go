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

	Fleet fleetCommand `cmd:"" help:"Run many agents in one process, for measurements."`

	Request requestCommand `cmd:"" help:"Send one request as a caller."`
	Load    loadCommand    `cmd:"" help:"Send many requests as callers and report outcomes and latencies."`
	Submit  submitCommand  `cmd:"" help:"Submit many batch tasks at a fixed rate."`
	Slopes  slopesCommand  `cmd:"" help:"Fit a line to each column of a table of measurements."`

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
