package runner

import "time"

const (
	// pingInterval is the time between two pings. Pings renew the authority, and their send times date the
	// orders that name them.
	pingInterval = 400 * time.Millisecond
	// maxOrderAge is the maximum age of a start order when it is carried out, counted from the ping it names.
	maxOrderAge = 1500 * time.Millisecond
	// startLeaseTerm is how far a start call extends the lease. The worker rejects a start that reaches it after
	// that time.
	startLeaseTerm = 1500 * time.Millisecond
	// startTimeout bounds a start call. It is short because the worker is on the same machine, the call is
	// idempotent, and retries have to fit within maxOrderAge.
	startTimeout = 350 * time.Millisecond
	// callTimeout bounds a stop call, a pace call, or a poll that does not wait.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the delay before a failed call is repeated.
	retryDelay = 100 * time.Millisecond
	// pollWait is how long the worker waits for an end before it answers a poll. If the answer is lost, ends are
	// reported later by up to this time.
	pollWait = 500 * time.Millisecond
	// pollTimeout is the timeout of a poll in addition to its wait. It is short because the worker is on the
	// same machine.
	pollTimeout = 300 * time.Millisecond
	// promptReplyTime is the time below which a poll was answered without waiting for an end.
	promptReplyTime = 20 * time.Millisecond
	// confirmationWait is how long the next poll is delayed for the coordinator to confirm the ends just reported.
	confirmationWait = 30 * time.Millisecond
	// noAnswerTimeout is how long after the worker's last answer the agent keeps extending its lease.
	noAnswerTimeout = 2200 * time.Millisecond
	// refusedTimeout is how long the worker must refuse connections before it counts as lost.
	refusedTimeout = 500 * time.Millisecond
	// leaveTimeout is how long a worker may still answer after its leave call; it ends as soon as the call is answered.
	leaveTimeout = 2 * time.Second
	// endsResendInterval is how long ends may stay unrecorded before they are reported again.
	endsResendInterval = 2 * time.Second
	// reportInterval is how often a report is repeated on a link: a message can be dropped although its link stays up, as
	// orders are while the coordinator's term may have ended.
	reportInterval = 3 * time.Second
	// progressInterval is the minimum time between two progress reports.
	progressInterval = time.Second
	// maxRecordedPings is the maximum number of pings whose send times are kept.
	maxRecordedPings = 32
	// maxStopTime is longer than a worker takes to end a run after a stop call.
	maxStopTime = 2 * time.Second
	// shutdownTimeout bounds the last extension of the lease when the agent stops.
	shutdownTimeout = 300 * time.Millisecond
)
