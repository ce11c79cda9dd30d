package shard

import (
	"time"

	"clementineflow/internal/store"
)

// Times of the shard layer.
const (
	// CommitInterval is the least time between two writes of a shard, which bounds the store's load
	// at 16 shards x 10/s per region.
	CommitInterval = 100 * time.Millisecond
	// FinishedRetention is how long a task that ended stays readable.
	FinishedRetention = time.Hour
	// pollInterval is how often the intended owner looks whether a shard can be claimed.
	pollInterval = 500 * time.Millisecond
	// auditInterval is how often an owned shard without commits is read, so that an owner that was
	// replaced unnoticed finds out without a proposal.
	auditInterval = 30 * time.Second
	// callTimeout bounds one store call.
	callTimeout = 500 * time.Millisecond
	// stopTimeout bounds the last commit and the release of a shard on a planned stop.
	stopTimeout = 2 * time.Second
)

// Sizes of the shard layer.
const (
	// warningBytes is the size above which a shard is reported as growing too large.
	warningBytes = 512 << 10
	// submissionBytes is the size above which no task is added. The rest up to the limit of the store
	// is left to the assignments and results of the tasks that are already there.
	submissionBytes = store.MaxValueBytes / 8 * 7
	// maxTasks stays below the 4096 map pairs that the decoder of stored documents accepts.
	maxTasks = 4000
	// maxQueued is the number of proposals that may wait for one commit.
	maxQueued = 4096
)
