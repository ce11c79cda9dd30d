package wire

import "clementineflow/internal/resource"

// Heartbeat is sent every second by the side that dialled.
type Heartbeat struct {
	// Sequence grows by one with each heartbeat of a link; the ack repeats it.
	Sequence uint64 `cbor:"1,keyasint"`
	// Revision is the highest configuration revision that the sender has seen.
	Revision uint64 `cbor:"2,keyasint"`
	// Session is the session number of the agent's attachment to the worker runtime.
	Session uint64            `cbor:"3,keyasint,omitempty"`
	Free    resource.Quantity `cbor:"4,keyasint,omitempty"`
	Targets []TargetState     `cbor:"5,keyasint,omitempty"`
	Leaving bool              `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Backed says that the entry's own registration in the store was confirmed within its TTL.
	Backed bool `cbor:"2,keyasint"`
	// StoreReachable says that the entry's last store call succeeded.
	StoreReachable bool `cbor:"3,keyasint"`
	// ConfirmationAgeMillis is how long ago, in milliseconds, the entry began the store read that
	// confirmed Revision as the current one. It is negative if the revision was never confirmed.
	ConfirmationAgeMillis int64 `cbor:"4,keyasint"`
	// Revision is the highest configuration revision that the entry knows.
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
