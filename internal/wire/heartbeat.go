package wire

import "clementineflow/internal/resource"

// Heartbeat is sent every second by the side that opened the link.
type Heartbeat struct {
	// Sequence increases by one with each heartbeat of a link; the acknowledgement repeats it.
	Sequence uint64 `cbor:"1,keyasint"`
	// Revision is the highest configuration revision that the sender has received.
	Revision uint64 `cbor:"2,keyasint"`
	// Session is the session number of the agent's attachment to the worker runtime.
	Session uint64            `cbor:"3,keyasint,omitempty"`
	Free    resource.Quantity `cbor:"4,keyasint,omitempty"`
	Targets []TargetState     `cbor:"5,keyasint,omitempty"`
	Leaving bool              `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// HeartbeatAck acknowledges a Heartbeat.
type HeartbeatAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Backed is set if the store confirmed the entry's own registration within the registration's TTL.
	Backed bool `cbor:"2,keyasint"`
	// StoreReachable is set if the store answered the entry's last call.
	StoreReachable bool `cbor:"3,keyasint"`
	// ConfirmationAgeMillis is the time, in milliseconds, since the entry started the store read that
	// confirmed Revision as the current one. It is negative if the revision was never confirmed.
	ConfirmationAgeMillis int64 `cbor:"4,keyasint"`
	// Revision is the highest configuration revision that the entry has read.
	Revision uint64 `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*HeartbeatAck) Kind() Kind { return KindHeartbeatAck }

// Configuration carries an encoded configuration document.
type Configuration struct {
	Revision uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Configuration) Kind() Kind { return KindConfiguration }
