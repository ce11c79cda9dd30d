package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errStopTimeout means that a graceful stop took longer than the settings allow.
var errStopTimeout = errors.New("work was in progress at the end of the stop timeout")

// runUntilStopped runs a daemon that stops gracefully when the context ends. It returns errStopTimeout if
// the daemon is still running when the timeout has passed since the end of the context.
func runUntilStopped(ctx context.Context, timeout time.Duration, run func(context.Context) error) error {
	result := make(chan error, 1)
	go func() { result <- run(ctx) }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return errStopTimeout
	}
}
