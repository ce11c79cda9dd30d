package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errStopTimeout reports a graceful stop that took longer than the settings allow.
var errStopTimeout = errors.New("work was in progress at the end of the stop timeout")

// runUntilStopped runs a daemon that stops gracefully when the context ends, and gives up the stop
// after the timeout.
func runUntilStopped(ctx context.Context, timeout time.Duration, run func(context.Context) error) error {
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		return errStopTimeout
	}
}
