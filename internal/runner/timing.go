package runner

import "time"

const (
	// pingInterval keeps the authority fresh and bounds the age of orders that name a ping.
	pingInterval = 400 * time.Millisecond
	// maxOrderAge is how old a start order may be when it is carried out.
	maxOrderAge = 1500 * time.Millisecond
	// startDue is how far ahead a start's own due time lies. A start that the worker carries out later is
	// rejected by it.
	startDue = 1500 * time.Millisecond
	// startTimeout bounds a start call. The worker is on the same machine, and the call is idempotent, so it is
	// better repeated soon: the order has to be carried out within maxOrderAge.
	startTimeout = 350 * time.Millisecond
	// callTimeout bounds a stop, pace or short look.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause before a call is repeated.
	retryDelay = 100 * time.Millisecond
	// lookWait is how long the worker waits for an end before it answers a look. Ends are reported late by it if
	// the answer of a look is lost.
	lookWait = 500 * time.Millisecond
	// lookTimeout is what a look may take beyond its wait; the worker is on the same machine.
	lookTimeout = 300 * time.Millisecond
	// promptLook is the time within which an answer did not wait for an end.
	promptLook = 20 * time.Millisecond
	// confirmWait is how long the next look waits for the confirmation of the ends just reported.
	confirmWait = 30 * time.Millisecond
	// silenceBound is how long after the last answer the agent goes on extending the worker's lease.
	silenceBound = 2200 * time.Millisecond
	// refusedBound is how long the worker must refuse connections before it counts as dead.
	refusedBound = 500 * time.Millisecond
	// endsTimeout is how long ends may go unrecorded before they are reported again.
	endsTimeout = 2 * time.Second
	// progressInterval is the time between two progress reports.
	progressInterval = time.Second
	// pingHistory bounds the pings whose send times are remembered.
	pingHistory = 32
	// stopTimeout bounds the last extension of the lease on a planned stop.
	stopTimeout = 300 * time.Millisecond
)
