package wire

import "clementineflow/internal/resource"

// newJobMessage returns an empty message about jobs of steps, or nil if the kind is unknown.
func newJobMessage(kind Kind) Message {
	switch kind {
	case KindTermHello:
		return &TermHello{}
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

// TermHello opens a coordinator's link to an agent.
type TermHello struct {
	// Term is the coordinator's term; it grows with each change of the coordinator.
	Term uint64 `cbor:"1,keyasint"`
	// Fence is larger than that of every earlier link to any agent.
	Fence uint64 `cbor:"2,keyasint"`
	// Agent is the name of the agent that the coordinator means to reach.
	Agent string `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*TermHello) Kind() Kind { return KindTermHello }

// RunRow is one run on a worker.
type RunRow struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// Saved is the latest checkpoint of the run.
	Saved string
	// Percent is how much of the task is done.
	Percent uint8
}

// EndRow is one listed end of a run.
type EndRow struct {
	_ struct{} `cbor:",toarray"`
	// Number orders the ends of one life of the worker.
	Number  uint64
	Task    string
	Run     uint32
	Outcome uint8
	Saved   string
}

// AgentReport describes the worker beside an agent. It is sent when a link opens and after each change
// of the description.
type AgentReport struct {
	Agent string `cbor:"1,keyasint"`
	// WorkerID is empty while the agent knows no worker.
	WorkerID string            `cbor:"2,keyasint,omitempty"`
	Born     int64             `cbor:"3,keyasint,omitempty"`
	Service  string            `cbor:"4,keyasint,omitempty"`
	Zone     string            `cbor:"5,keyasint,omitempty"`
	Capacity resource.Quantity `cbor:"6,keyasint"`
	Labels   []string          `cbor:"7,keyasint,omitempty"`
	// Leaving is set once the worker has announced its end.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// RemainingMillis is the minimum time until a leaving worker ends.
	RemainingMillis int64 `cbor:"9,keyasint,omitempty"`
	// Runs are the runs on the worker, with the starts that the agent has not settled yet.
	Runs []RunRow `cbor:"10,keyasint,omitempty"`
	// Ends are the ends that are not confirmed yet.
	Ends []EndRow `cbor:"11,keyasint,omitempty"`
	// Complete is set if Runs and Ends were read from this life of the worker.
	Complete bool `cbor:"12,keyasint,omitempty"`
	// Restarted is set if the agent has forgotten how the runs share the worker.
	Restarted bool `cbor:"13,keyasint,omitempty"`
}

// Kind implements Message.
func (*AgentReport) Kind() Kind { return KindAgentReport }

// AgentPing asks the coordinator to extend the agent's authority.
type AgentPing struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*AgentPing) Kind() Kind { return KindAgentPing }

// PingReply extends the agent's authority, counted from the send time of the ping.
type PingReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*PingReply) Kind() Kind { return KindPingReply }

// StartRun orders the start of a run.
type StartRun struct {
	Task string `cbor:"1,keyasint"`
	Run  uint32 `cbor:"2,keyasint"`
	// WorkerID and Born name the life of the worker that the run is assigned to.
	WorkerID string `cbor:"3,keyasint"`
	Born     int64  `cbor:"4,keyasint"`
	Payload  string `cbor:"5,keyasint"`
	Saved    string `cbor:"6,keyasint,omitempty"`
	// LastPing is the agent's latest ping that the coordinator had received. The order is at most as old
	// as that ping.
	LastPing uint64 `cbor:"7,keyasint"`
	// Filler, LatencyTargetMillis and Image describe how the run shares the worker with others.
	Filler              bool   `cbor:"8,keyasint,omitempty"`
	LatencyTargetMillis int64  `cbor:"9,keyasint,omitempty"`
	Image               string `cbor:"10,keyasint,omitempty"`
	// MilliCPU is what the run reserves, or may use if it is a filler.
	MilliCPU int64 `cbor:"11,keyasint,omitempty"`
	// Pressures is what is known of how a filler presses the runs on the worker.
	Pressures []PressureRow `cbor:"12,keyasint,omitempty"`
}

// Kind implements Message.
func (*StartRun) Kind() Kind { return KindStartRun }

// StopRun orders the end of a run.
type StopRun struct {
	Task     string `cbor:"1,keyasint"`
	Run      uint32 `cbor:"2,keyasint"`
	WorkerID string `cbor:"3,keyasint"`
	Born     int64  `cbor:"4,keyasint"`
}

// Kind implements Message.
func (*StopRun) Kind() Kind { return KindStopRun }

// RunEnded reports listed ends. It is repeated on each new link until the ends are confirmed.
type RunEnded struct {
	WorkerID string   `cbor:"1,keyasint"`
	Born     int64    `cbor:"2,keyasint"`
	Ends     []EndRow `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*RunEnded) Kind() Kind { return KindRunEnded }

// RunAbsent states that a run is not on the worker, has no listed end and will never start.
type RunAbsent struct {
	WorkerID string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint"`
	Task     string `cbor:"3,keyasint"`
	Run      uint32 `cbor:"4,keyasint"`
	Reason   string `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*RunAbsent) Kind() Kind { return KindRunAbsent }

// ConfirmEnds tells the agent that the coordinator has recorded these ends.
type ConfirmEnds struct {
	WorkerID string   `cbor:"1,keyasint"`
	Born     int64    `cbor:"2,keyasint"`
	Numbers  []uint64 `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*ConfirmEnds) Kind() Kind { return KindConfirmEnds }

// RunProgress reports how far the runs on a worker are.
type RunProgress struct {
	WorkerID string   `cbor:"1,keyasint"`
	Born     int64    `cbor:"2,keyasint"`
	Runs     []RunRow `cbor:"3,keyasint"`
	// Pressures is what the agent learned of the images that share the worker.
	Pressures []PressureRow `cbor:"4,keyasint,omitempty"`
	// Held are the fillers that are held back for runs with a latency target.
	Held []HeldRow `cbor:"5,keyasint,omitempty"`
	// Loads are the own loads of the runs with a latency target.
	Loads []LoadRow `cbor:"6,keyasint,omitempty"`
}

// LoadRow is the own load of a run with a latency target, between 0 and 1.
type LoadRow struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Load float32
}

// PressureRow is how much one part of a worker at work on a filler presses a run with a latency target, by image.
type PressureRow struct {
	_       struct{} `cbor:",toarray"`
	Serving string
	Filler  string
	Value   float32
	// Samples is the number of samples behind the value.
	Samples float32
}

// HeldRow is a filler that is held back.
type HeldRow struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// Millis is how long it has been held back.
	Millis int64
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
	// Known is false if the coordinator can't tell: it may not have learned of the job yet.
	Known bool  `cbor:"2,keyasint,omitempty"`
	State uint8 `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*JobReply) Kind() Kind { return KindJobReply }

// QueueQuery asks the coordinator how many jobs of a queue wait.
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

// InputNotice tells the coordinator of a job or a cancellation that has just been stored. The coordinator
// would learn of it from the store a little later; a notice may get lost.
type InputNotice struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*InputNotice) Kind() Kind { return KindInputNotice }

// PeerPing keeps a link between two entries from falling silent; it is sent back as it is.
type PeerPing struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*PeerPing) Kind() Kind { return KindPeerPing }
