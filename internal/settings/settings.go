// Package settings reads the settings files of the daemon and the YAML documents that operators
// apply. Decoding is strict and reports every fault of a file in one run, with its place.
package settings

import (
	"time"
)

// Role is the role that a settings file is for.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings is the content of a settings file. Fields that a role does not use are zero.
type Settings struct {
	Role Role
	// Name is the entry's name, or the worker's name for an agent; unique in the region.
	Name   string
	Region string
	Zone   string
	Rack   string
	Listen Listen
	// Advertise holds the addresses that other processes dial; they default to the listen addresses.
	Advertise Advertise
	Store     Store
	// Entries lists link addresses ("IP:port") of entries to dial. An entry may have none.
	Entries []string
	// Runtime is the "IP:port" of the worker runtime's HTTP interface; agents only.
	Runtime string
	Worker  Worker
	Log     Log
	TLS     TLS
	// Trace names the file for a trace of an entry's inputs; entries only.
	Trace Trace
	// StopTimeout bounds a graceful stop; work in progress after it is cut off.
	StopTimeout time.Duration
	// AllowPlaintextOnAllInterfaces permits listening without TLS on addresses that are not loopback.
	AllowPlaintextOnAllInterfaces bool
}

// Listen holds listen addresses as "IP:port"; an empty one is not served.
type Listen struct {
	Callers   string
	Operators string
	Links     string
	Metrics   string
	// Targets is the loopback address for target announcements; agents only.
	Targets string
}

// Advertise holds the addresses under which an entry registers itself.
type Advertise struct {
	Operators string
	Links     string
}

// Store says how an entry reaches the key-value service.
type Store struct {
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Worker limits what an agent admits. A zero limit leaves the value of the runtime in force.
type Worker struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
	Slots        int
	Connections  int
}

// Log selects the form of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	// QueueLines is the number of lines that may wait to be written.
	QueueLines int
}

// Trace says where an entry records its inputs.
type Trace struct {
	// File is empty if nothing is recorded.
	File string
	// MaxBytes is the largest size of the file.
	MaxBytes int64
}

// TLS names PEM files; all three are set, or none.
type TLS struct {
	Certificate string
	Key         string
	ClientCA    string
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }
