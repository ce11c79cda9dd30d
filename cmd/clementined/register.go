package main

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// registerTimeout bounds one attempt to register an agent.
	registerTimeout = time.Second
	// firstRegisterDelay and maxRegisterDelay are the pauses between two attempts.
	firstRegisterDelay = 50 * time.Millisecond
	maxRegisterDelay   = 500 * time.Millisecond
)

// registerBackOff returns the pauses between attempts to register.
func registerBackOff() backoff.BackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstRegisterDelay, maxRegisterDelay
	return pauses
}
