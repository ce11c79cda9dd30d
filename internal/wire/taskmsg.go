package wire

import (
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Order identifies the task attempt that a command applies to and the shard owner that issued it.
type Order struct {
	TaskID  string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	// Shard and Epoch identify the shard owner. An agent refuses an epoch below the highest one that it has
	// received for the shard.
	Shard uint16 `cbor:"3,keyasint"`
	Epoch uint64 `cbor:"4,keyasint"`
	// Session is the agent's session that the command is meant for.
	Session task.Session `cbor:"5,keyasint"`
}

// StartTask orders the start of a committed assignment.
type StartTask struct {
	Order      Order             `cbor:"1,keyasint"`
	TaskKind   task.Kind         `cbor:"2,keyasint"`
	Class      string            `cbor:"3,keyasint"`
	Service    string            `cbor:"4,keyasint,omitempty"`
	Size       resource.Quantity `cbor:"5,keyasint"`
	Payload    []byte            `cbor:"6,keyasint,omitempty"`
	Checkpoint string            `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*StartTask) Kind() Kind { return KindStartTask }

// EvictTask orders a checkpoint followed by a stop, after which the attempt never runs again.
type EvictTask struct {
	Order Order `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*EvictTask) Kind() Kind { return KindEvictTask }

// StopTask orders a stop without a checkpoint, after which the attempt never runs again.
type StopTask struct {
	Order Order `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*StopTask) Kind() Kind { return KindStopTask }

// EventType is the type of an event of a task attempt.
type EventType uint8

// Task event types.
const (
	EventStarted EventType = iota + 1
	EventFinished
	EventFailed
	// EventEvicted: checkpointed and stopped; Checkpoint is set.
	EventEvicted
	// EventStopped: stopped without a checkpoint, or not started and will never start.
	EventStopped
	// EventRefused: the attempt did not start and will never start in this session.
	EventRefused
)

// RefusalReason is the reason why an agent refused to start a task.
type RefusalReason uint8

// Reasons for a refusal.
const (
	RefusalNone RefusalReason = iota
	RefusalCapacity
	RefusalZone
	RefusalNoPermit
	RefusalNoLease
	RefusalStaleSession
	RefusalStaleEpoch
	RefusalTombstone
	RefusalLeaving
	RefusalRuntime
)

// TaskEvent reports an event about a task attempt; it is repeated until acknowledged.
type TaskEvent struct {
	TaskID     string        `cbor:"1,keyasint"`
	Attempt    uint32        `cbor:"2,keyasint"`
	Type       EventType     `cbor:"3,keyasint"`
	Refusal    RefusalReason `cbor:"4,keyasint,omitempty"`
	Checkpoint string        `cbor:"5,keyasint,omitempty"`
	Result     []byte        `cbor:"6,keyasint,omitempty"`
	Detail     string        `cbor:"7,keyasint,omitempty"`
	Session    task.Session  `cbor:"8,keyasint"`
	// ProgressPermille is the completed part of the work, in thousandths.
	ProgressPermille int `cbor:"9,keyasint,omitempty"`
	// StaleEpoch is the highest epoch that the agent has received for the shard; it is set only with
	// RefusalStaleEpoch.
	StaleEpoch uint64 `cbor:"10,keyasint,omitempty"`
}

// Kind implements Message.
func (*TaskEvent) Kind() Kind { return KindTaskEvent }

// AckTaskEvent tells the agent that the shard owner has committed the effect of a TaskEvent.
type AckTaskEvent struct {
	TaskID  string    `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Type    EventType `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*AckTaskEvent) Kind() Kind { return KindAckTaskEvent }

// Usage reports the measured resource usage of each task of a worker; the measurements may be old.
type Usage struct {
	Tasks []TaskStatus `cbor:"1,keyasint"`
	// AgeMillis is the age of the measurements in milliseconds.
	AgeMillis int64 `cbor:"2,keyasint"`
	// ServiceLatencies holds the latency of each service's targets over the last report interval.
	ServiceLatencies []ServiceLatency `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Usage) Kind() Kind { return KindUsage }

// ServiceLatency is the latency of one service on one worker.
type ServiceLatency struct {
	Service   string `cbor:"1,keyasint"`
	Requests  int64  `cbor:"2,keyasint"`
	P50Micros int64  `cbor:"3,keyasint"`
	P99Micros int64  `cbor:"4,keyasint"`
}

// AckQuery asks a peer entry whether it has recently acknowledged a heartbeat of a worker.
type AckQuery struct {
	Worker string `cbor:"1,keyasint"`
	// BootID identifies the boot of the worker runtime that the query is about; a replacement VM has
	// another boot ID.
	BootID string `cbor:"2,keyasint"`
	// Nonce is repeated in the reply, to match it with the query.
	Nonce uint64 `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*AckQuery) Kind() Kind { return KindAckQuery }

// AckStatus is an entry's answer about its acknowledgements to a worker.
type AckStatus uint8

// Answers about acknowledgements to a worker. The period in question is the term of a worker lease plus
// its margin.
const (
	// AckStatusNone: the entry has been running for the whole period and has not acknowledged the worker in
	// it.
	AckStatusNone AckStatus = iota + 1
	// AckStatusRecent: the entry has acknowledged the worker within the period.
	AckStatusRecent
	// AckStatusUptimeTooShort: the entry has not been running for the whole period.
	AckStatusUptimeTooShort
)

// AckReply answers an AckQuery.
type AckReply struct {
	Worker  string    `cbor:"1,keyasint"`
	BootID  string    `cbor:"2,keyasint"`
	Nonce   uint64    `cbor:"3,keyasint"`
	Verdict AckStatus `cbor:"4,keyasint"`
}

// Kind implements Message.
func (*AckReply) Kind() Kind { return KindAckReply }
