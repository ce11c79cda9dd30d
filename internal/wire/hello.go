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

// Hello is the first message on a link, from the side that opened it.
type Hello struct {
	Role Role `cbor:"1,keyasint"`
	// Name is the worker's name for an agent, the entry's name for an entry.
	Name string `cbor:"2,keyasint"`
	// Incarnation identifies the sending process; it is a random value set when the process starts.
	Incarnation string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
	// The fields below are set by agents only.
	Rack     string            `cbor:"6,keyasint,omitempty"`
	Session  task.Session      `cbor:"7,keyasint,omitempty"`
	Capacity resource.Quantity `cbor:"8,keyasint,omitempty"`
	Tasks    []TaskStatus      `cbor:"9,keyasint,omitempty"`
	Targets  []TargetState     `cbor:"10,keyasint,omitempty"`
	// Revision is the highest configuration revision that the sender has received.
	Revision uint64 `cbor:"11,keyasint,omitempty"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// TargetState describes one target of a worker.
type TargetState struct {
	Service string `cbor:"1,keyasint"`
	// Address is the IP address and port at which the agent reaches the target.
	Address string `cbor:"2,keyasint"`
	// Slots and Connections are limits; the Used fields count what is in progress.
	Slots           int  `cbor:"3,keyasint"`
	Connections     int  `cbor:"4,keyasint"`
	SlotsUsed       int  `cbor:"5,keyasint,omitempty"`
	ConnectionsUsed int  `cbor:"6,keyasint,omitempty"`
	Leaving         bool `cbor:"7,keyasint,omitempty"`
	// LatencyMicros is the recent p99 of the target's own response time, in microseconds.
	LatencyMicros int64 `cbor:"8,keyasint,omitempty"`
}

// TaskStatus is the status of one task attempt as its agent reports it.
type TaskStatus struct {
	TaskID   string            `cbor:"1,keyasint"`
	Attempt  uint32            `cbor:"2,keyasint"`
	Running  bool              `cbor:"3,keyasint"`
	Class    string            `cbor:"4,keyasint,omitempty"`
	TaskKind task.Kind         `cbor:"5,keyasint,omitempty"`
	Size     resource.Quantity `cbor:"6,keyasint,omitempty"`
	Usage    resource.Quantity `cbor:"7,keyasint,omitempty"`
	// ProgressPermille is the work done and ThrottlePermille the throttling, both in thousandths.
	ProgressPermille int `cbor:"8,keyasint,omitempty"`
	ThrottlePermille int `cbor:"9,keyasint,omitempty"`
}

// EntryAddress holds the name of an entry and the addresses at which it is reached.
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
	// Entries lists the entries known to the sender, including the sender.
	Entries []EntryAddress `cbor:"3,keyasint"`
	// Document is the encoded configuration document; it is empty if the receiver is up to date.
	Document []byte `cbor:"4,keyasint,omitempty"`
	Revision uint64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*Welcome) Kind() Kind { return KindWelcome }

// Leaving announces a planned stop. The receiver must send no new work over this link.
type Leaving struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Leaving) Kind() Kind { return KindLeaving }
