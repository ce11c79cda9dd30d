package relay

import "time"

const (
	// suspectAfter is how long a store call may take before this entry's own path counts as lost.
	suspectAfter = 500 * time.Millisecond
	// relayTimeout bounds the attempt through one other entry, in addition to the time that the call waits for
	// changes.
	relayTimeout = 600 * time.Millisecond
	// dialTimeout bounds the opening of a link to another entry.
	dialTimeout = 300 * time.Millisecond
	// relayPause is how long no calls are relayed after no other entry could make a call.
	relayPause = time.Second
	// maxCandidates bounds the entries that are tried for one call.
	maxCandidates = 3
	// idleTime is the time without calls after which a link is closed.
	idleTime = 30 * time.Second
	// pingInterval is the time between pings that keep a link alive.
	pingInterval = time.Second
	// maxCalls bounds the concurrent calls that an entry makes for others.
	maxCalls = 64
	// maxBudget bounds the time that a call for another entry may take.
	maxBudget = 5 * time.Second
)

// Timing of the entry records.
const (
	// recordTTL is the time after which the record of a failed entry expires.
	recordTTL     = time.Minute
	renewInterval = 20 * time.Second
	retryInterval = time.Second
	callTimeout   = time.Second
	// directoryWait is how long one watch call waits for changes of the records.
	directoryWait = 10 * time.Second
)
