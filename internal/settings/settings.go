// Package settings reads the settings files of the daemon and the YAML documents that operators apply.
// Decoding is strict and reports all faults of a file at once, with their positions.
package settings

import (
	"time"
)

// Role is the role of the process that a settings file configures.
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
	Limits  Limits
	Log     Log
	TLS     TLS
	// Trace names the file for a trace of an entry's inputs; entries only.
	Trace Trace
	// StopTimeout bounds a graceful stop; work still in progress after it is aborted.
	StopTimeout time.Duration
	// AllowPlaintextOnAllInterfaces permits listening without TLS on addresses that are not loopback.
	AllowPlaintextOnAllInterfaces bool
}

// Listen holds listen addresses as "IP:port". No listener is opened for an empty address.
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

// Store configures an entry's connection to the key-value service.
type Store struct {
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Worker holds the limits of what an agent admits. For a limit of zero, the value of the runtime applies.
type Worker struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
	Slots        int
	Connections  int
}

// Limits holds the limits of the process. A limit of zero is not known.
type Limits struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// OpenFiles is the number of descriptors that the process may open.
	OpenFiles int
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	// QueueLines is the number of lines that may wait to be written.
	QueueLines int
}

// Trace configures the recording of an entry's inputs.
type Trace struct {
	// File is empty if nothing is recorded.
	File string
	// MaxBytes is the largest size of the file.
	MaxBytes int64
}

// TLS holds the paths of PEM files; either all three are set or none.
type TLS struct {
	Certificate string
	Key         string
	ClientCA    string
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }
