package wire

import (
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Role is the role of the process that sends a Hello.
type Role uint8

// Roles.
const (
	RoleAgent Role = iota + 1
	RoleEntry
)

// Hello is the first message on a link, from the side that dialled.
type Hello struct {
	Role Role `cbor:"1,keyasint"`
	// Name is the worker's name for an agent, the entry's name for an entry.
	Name string `cbor:"2,keyasint"`
	// Incarnation is drawn at random when the sending process starts.
	Incarnation string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
	// The fields below are set by agents only.
	Rack     string            `cbor:"6,keyasint,omitempty"`
	Session  task.Session      `cbor:"7,keyasint,omitempty"`
	Capacity resource.Quantity `cbor:"8,keyasint,omitempty"`
	Tasks    []TaskStatus      `cbor:"9,keyasint,omitempty"`
	Targets  []TargetState     `cbor:"10,keyasint,omitempty"`
	// Revision is the highest configuration revision that the sender has seen.
	Revision uint64 `cbor:"11,keyasint,omitempty"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// TargetState describes one target of a worker.
type TargetState struct {
	Service string `cbor:"1,keyasint"`
	// Address is the target's IP address and port as seen by its agent.
	Address string `cbor:"2,keyasint"`
	// Slots and Connections are limits; the Used fields count what is in progress.
	Slots           int  `cbor:"3,keyasint"`
	Connections     int  `cbor:"4,keyasint"`
	SlotsUsed       int  `cbor:"5,keyasint,omitempty"`
	ConnectionsUsed int  `cbor:"6,keyasint,omitempty"`
	Leaving         bool `cbor:"7,keyasint,omitempty"`
	// LatencyMicros is the recent p99 of the target's own answer time, in microseconds.
	LatencyMicros int64 `cbor:"8,keyasint,omitempty"`
}

// TaskStatus is an agent's view of one task attempt.
type TaskStatus struct {
	TaskID   string            `cbor:"1,keyasint"`
	Attempt  uint32            `cbor:"2,keyasint"`
	Running  bool              `cbor:"3,keyasint"`
	Class    string            `cbor:"4,keyasint,omitempty"`
	TaskKind task.Kind         `cbor:"5,keyasint,omitempty"`
	Size     resource.Quantity `cbor:"6,keyasint,omitempty"`
	Usage    resource.Quantity `cbor:"7,keyasint,omitempty"`
	// ProgressPermille and ThrottlePermille are in thousandths.
	ProgressPermille int `cbor:"8,keyasint,omitempty"`
	ThrottlePermille int `cbor:"9,keyasint,omitempty"`
}

// EntryAddress names an entry and where agents and peers reach it.
type EntryAddress struct {
	Name string `cbor:"1,keyasint"`
	// LinkAddress is the IP address and port for links.
	LinkAddress string `cbor:"2,keyasint"`
	// OperatorAddress is the IP address and port of the operators' gRPC service.
	OperatorAddress string `cbor:"3,keyasint,omitempty"`
}

// Welcome answers a Hello.
type Welcome struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Entries lists the entries that the sender knows, itself included.
	Entries []EntryAddress `cbor:"3,keyasint"`
	// Document is the encoded configuration document; empty if the receiver is not behind.
	Document []byte `cbor:"4,keyasint,omitempty"`
	Revision uint64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*Welcome) Kind() Kind { return KindWelcome }

// Leaving announces a planned stop: the receiver sends no new work over this link.
type Leaving struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Leaving) Kind() Kind { return KindLeaving }
