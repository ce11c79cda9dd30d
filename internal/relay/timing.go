package relay

import "time"

const (
	// suspectAfter is how long a call to the store may go unanswered before the store counts as away.
	suspectAfter = 500 * time.Millisecond
	// relayTimeout bounds the attempt through one other entry, beyond the time that the call waits.
	relayTimeout = 600 * time.Millisecond
	// dialTimeout bounds the opening of a link to another entry.
	dialTimeout = 300 * time.Millisecond
	// restTime is how long no entry is asked after none of them could reach the store.
	restTime = time.Second
	// maxCandidates bounds the entries that are asked for one call.
	maxCandidates = 3
	// idleTime is after how long without calls a link is closed.
	idleTime = 30 * time.Second
	// pingInterval keeps a link from falling silent.
	pingInterval = time.Second
	// maxCalls bounds the calls that an entry makes for others at a time.
	maxCalls = 64
	// maxBudget bounds the time that a call for another entry may take.
	maxBudget = 5 * time.Second
)

// Times of the record that names this entry's address.
const (
	// recordTTL is how long the record of an entry that is gone stays.
	recordTTL     = time.Minute
	renewInterval = 20 * time.Second
	retryInterval = time.Second
	callTimeout   = time.Second
	// directoryWait is how long one call waits for changes of the records.
	directoryWait = 10 * time.Second
)
