package wire

import "clementineflow/internal/resource"

// newJobMessage returns an empty message of a kind that concerns multi-step jobs or store calls, or nil
// if the kind is unknown.
func newJobMessage(kind Kind) Message {
	switch kind {
	case KindCoordinatorHello:
		return &CoordinatorHello{}
	case KindAgentReport:
		return &AgentReport{}
	case KindAgentPing:
		return &AgentPing{}
	case KindPingReply:
		return &PingReply{}
	case KindStartRun:
		return &StartRun{}
	case KindStopRun:
		return &StopRun{}
	case KindRunEnded:
		return &RunEnded{}
	case KindRunAbsent:
		return &RunAbsent{}
	case KindConfirmEnds:
		return &ConfirmEnds{}
	case KindJobQuery:
		return &JobQuery{}
	case KindJobReply:
		return &JobReply{}
	case KindQueueQuery:
		return &QueueQuery{}
	case KindQueueReply:
		return &QueueReply{}
	case KindRunProgress:
		return &RunProgress{}
	case KindPeerPing:
		return &PeerPing{}
	case KindStoreCall:
		return &StoreCall{}
	case KindStoreReply:
		return &StoreReply{}
	case KindInputNotice:
		return &InputNotice{}
	default:
		return nil
	}
}

// CoordinatorHello opens a coordinator's link to an agent.
type CoordinatorHello struct {
	// Term is the coordinator's term; it increases with each change of coordinator.
	Term uint64 `cbor:"1,keyasint"`
	// Fence is a fencing token, larger than those of all earlier links to any agent.
	Fence uint64 `cbor:"2,keyasint"`
	// Agent is the name of the agent that the link is meant for.
	Agent string `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*CoordinatorHello) Kind() Kind { return KindCoordinatorHello }

// RunRow is one run on a worker.
type RunRow struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// Checkpoint is the latest checkpoint of the run.
	Checkpoint string
	// ProgressPercent is the completed part of the task.
	ProgressPercent uint8
}

// EndRow is the end of one run, as the worker lists it.
type EndRow struct {
	_ struct{} `cbor:",toarray"`
	// Number is the sequence number of the end within one incarnation of the worker.
	Number     uint64
	Task       string
	Run        uint32
	Outcome    uint8
	Checkpoint string
}

// AgentReport describes the agent's worker. It is sent when a link opens and after each change
// of the description.
type AgentReport struct {
	Agent string `cbor:"1,keyasint"`
	// WorkerID is empty while no worker is ready to start runs. Runs of an earlier one may still be active then, unless
	// WorkerLost is set.
	WorkerID string `cbor:"2,keyasint,omitempty"`
	// Incarnation distinguishes the incarnations of a worker with the same ID.
	Incarnation int64             `cbor:"3,keyasint,omitempty"`
	Service     string            `cbor:"4,keyasint,omitempty"`
	Zone        string            `cbor:"5,keyasint,omitempty"`
	Capacity    resource.Quantity `cbor:"6,keyasint"`
	Labels      []string          `cbor:"7,keyasint,omitempty"`
	// Leaving is set once the worker has announced its shutdown.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// RemainingMillis is the minimum time, in milliseconds, until a leaving worker shuts down.
	RemainingMillis int64 `cbor:"9,keyasint,omitempty"`
	// Runs are the runs on the worker, including those whose start is not yet confirmed or refused.
	Runs []RunRow `cbor:"10,keyasint,omitempty"`
	// Ends are the ends that the coordinator has not confirmed yet.
	Ends []EndRow `cbor:"11,keyasint,omitempty"`
	// Complete is set if Runs and Ends were read from this incarnation of the worker.
	Complete bool `cbor:"12,keyasint,omitempty"`
	// Restarted is set while the agent lacks the start order of a run, which holds its attributes: it has restarted.
	Restarted bool `cbor:"13,keyasint,omitempty"`
	// Crash is the latest crash of the worker, or nil if the agent has seen none.
	Crash *WorkerCrash `cbor:"14,keyasint,omitempty"`
	// WorkerLost is set while the agent has no worker and all runs that were started on its machine have certainly
	// ended. Each report repeats it until the agent has a worker again.
	WorkerLost bool `cbor:"15,keyasint,omitempty"`
	// EndsTruncated is set until the worker has listed all ends of this incarnation. A run of a former incarnation that is
	// neither in Runs nor in Ends may still turn out to have ended in this one.
	EndsTruncated bool `cbor:"16,keyasint,omitempty"`
}

// Kind implements Message.
func (*AgentReport) Kind() Kind { return KindAgentReport }

// StartRun orders the start of a run.
type StartRun struct {
	Task string `cbor:"1,keyasint"`
	Run  uint32 `cbor:"2,keyasint"`
	// WorkerID and Incarnation identify the incarnation of the worker that the run is assigned to.
	WorkerID    string `cbor:"3,keyasint"`
	Incarnation int64  `cbor:"4,keyasint"`
	Payload     string `cbor:"5,keyasint"`
	Checkpoint  string `cbor:"6,keyasint,omitempty"`
	// LastPing is the sequence number of the latest ping that the coordinator had received from the agent
	// when it sent the order. The order is therefore no older than that ping.
	LastPing uint64 `cbor:"7,keyasint"`
	// Filler, LatencyTargetMillis and Image describe how the run shares the worker with others.
	Filler              bool   `cbor:"8,keyasint,omitempty"`
	LatencyTargetMillis int64  `cbor:"9,keyasint,omitempty"`
	Image               string `cbor:"10,keyasint,omitempty"`
	// MilliCPU is the processor time that the run reserves, or its upper limit if it is a filler.
	MilliCPU int64 `cbor:"11,keyasint,omitempty"`
	// Pressures holds the estimated interference of a filler with the runs on the worker.
	Pressures []PressureRow `cbor:"12,keyasint,omitempty"`
	// WorkPerValue is the processor time, in seconds, that the job of a filler needed for each unit of value to its caller
	// when the order was sent. It is zero if jobs are not put in the order of the cost of their delay.
	WorkPerValue float32 `cbor:"13,keyasint,omitempty"`
}

// Kind implements Message.
func (*StartRun) Kind() Kind { return KindStartRun }

// StopRun orders the worker's agent to stop a run.
type StopRun struct {
	Task        string `cbor:"1,keyasint"`
	Run         uint32 `cbor:"2,keyasint"`
	WorkerID    string `cbor:"3,keyasint"`
	Incarnation int64  `cbor:"4,keyasint"`
}

// Kind implements Message.
func (*StopRun) Kind() Kind { return KindStopRun }

// RunEnded reports ends of runs. It is repeated on each new link until the ends are confirmed.
type RunEnded struct {
	WorkerID    string   `cbor:"1,keyasint"`
	Incarnation int64    `cbor:"2,keyasint"`
	Ends        []EndRow `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*RunEnded) Kind() Kind { return KindRunEnded }

// RunAbsent reports that a run is not on the worker, that the worker lists no end of it, and that it will
// never start there.
type RunAbsent struct {
	WorkerID    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Task        string `cbor:"3,keyasint"`
	Run         uint32 `cbor:"4,keyasint"`
	Reason      string `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*RunAbsent) Kind() Kind { return KindRunAbsent }

// ConfirmEnds tells the agent which ends the coordinator has recorded.
type ConfirmEnds struct {
	WorkerID    string   `cbor:"1,keyasint"`
	Incarnation int64    `cbor:"2,keyasint"`
	Numbers     []uint64 `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*ConfirmEnds) Kind() Kind { return KindConfirmEnds }

// RunProgress reports the progress of the runs on a worker and how they affect each other.
type RunProgress struct {
	WorkerID    string   `cbor:"1,keyasint"`
	Incarnation int64    `cbor:"2,keyasint"`
	Runs        []RunRow `cbor:"3,keyasint"`
	// Pressures holds the agent's estimates of the interference between the images on the worker.
	Pressures []PressureRow `cbor:"4,keyasint,omitempty"`
	// Throttled lists the fillers that are slowed down to protect runs with a latency target.
	Throttled []ThrottledRow `cbor:"5,keyasint,omitempty"`
	// Loads holds the own load of each run with a latency target.
	Loads []LoadRow `cbor:"6,keyasint,omitempty"`
	// Paused lists the fillers at 0 percent, with the time since they were paused.
	Paused []ThrottledRow `cbor:"7,keyasint,omitempty"`
}

// LoadRow is the load that a run with a latency target causes itself, between 0 and 1.
type LoadRow struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Load float32
}

// PressureRow is the estimated effect of a filler on the load of a run with a latency target, per part of
// the worker that the filler uses. The runs are identified by their images.
type PressureRow struct {
	_       struct{} `cbor:",toarray"`
	Serving string
	Filler  string
	Value   float32
	// Samples is the weight of the measurements behind the value, in samples.
	Samples float32
}

// ThrottledRow is a filler that is slowed down.
type ThrottledRow struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// DurationMillis is the time since it was slowed down, or paused, in milliseconds.
	DurationMillis int64
}

// Kind implements Message.
func (*RunProgress) Kind() Kind { return KindRunProgress }

// JobQuery asks the coordinator for the state of a job.
type JobQuery struct {
	Sequence uint64 `cbor:"1,keyasint"`
	ID       string `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*JobQuery) Kind() Kind { return KindJobQuery }

// JobReply answers a JobQuery.
type JobReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Known is false if the state cannot be told, for example because the coordinator has not yet read the
	// job from the store.
	Known bool  `cbor:"2,keyasint,omitempty"`
	State uint8 `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*JobReply) Kind() Kind { return KindJobReply }

// QueueQuery asks the coordinator for the number of waiting jobs of a queue.
type QueueQuery struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Queue    string `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*QueueQuery) Kind() Kind { return KindQueueQuery }

// QueueReply answers a QueueQuery.
type QueueReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Known is false if the answering entry is not the coordinator.
	Known   bool `cbor:"2,keyasint,omitempty"`
	Waiting int  `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*QueueReply) Kind() Kind { return KindQueueReply }

// InputNotice tells the coordinator of a job or a cancellation that has just been stored. Notices may be
// lost: the coordinator also reads the record from the store, only somewhat later.
type InputNotice struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*InputNotice) Kind() Kind { return KindInputNotice }
