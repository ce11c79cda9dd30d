package main

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// registerTimeout bounds one attempt to register an agent.
	registerTimeout = time.Second
	// minRegisterDelay and maxRegisterDelay bound the backoff between two attempts.
	minRegisterDelay = 50 * time.Millisecond
	maxRegisterDelay = 500 * time.Millisecond
)

// registerBackOff returns the exponential backoff between attempts to register.
func registerBackOff() backoff.BackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = minRegisterDelay, maxRegisterDelay
	return policy
}
