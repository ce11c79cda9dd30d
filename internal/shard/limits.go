package shard

import (
	"time"

	"clementineflow/internal/store"
)

// Intervals and timeouts of the shard layer.
const (
	// CommitInterval is the minimum time between two commits of a shard. It limits the load on the
	// store to 16 shards x 10 writes/s per region.
	CommitInterval = 100 * time.Millisecond
	// FinishedRetention is how long the record of an ended task is kept.
	FinishedRetention = time.Hour
	// pollInterval is the interval at which the intended owner tries to claim a shard.
	pollInterval = 500 * time.Millisecond
	// verifyInterval is the interval at which the owner reads a shard without commits, so that an owner
	// that was replaced detects this even if it receives no proposals.
	verifyInterval = 30 * time.Second
	// storeCallTimeout is the timeout of one store call.
	storeCallTimeout = 500 * time.Millisecond
	// stopTimeout is the total timeout of the last commit and the release of a shard on a planned stop.
	stopTimeout = 2 * time.Second
)

// Size limits of the shard layer.
const (
	// sizeWarningBytes is the encoded size above which a warning is logged for a shard.
	sizeWarningBytes = 512 << 10
	// maxSubmissionBytes is the encoded size above which no task is added. The space up to the store's
	// limit is reserved for assignments and results of existing tasks.
	maxSubmissionBytes = store.MaxValueBytes / 8 * 7
	// maxTasks is the maximum number of tasks in a shard. It is below the 4096 map pairs that the
	// decoder of stored documents accepts.
	maxTasks = 4000
	// maxQueuedProposals is the maximum number of proposals that wait for the next commit.
	maxQueuedProposals = 4096
)
