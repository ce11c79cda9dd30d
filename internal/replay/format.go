package replay

import (
	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
)

// Version is the format version that this package reads and writes.
const Version = 1

// Header is the first line of a trace.
type Header struct {
	Version int    `json:"version"`
	Seed    uint64 `json:"seed"`
	Region  string `json:"region"`
	// Zone is the availability zone of the entry that decides.
	Zone string `json:"zone,omitempty"`
	// Configuration is absent if the recording entry did not know one yet.
	Configuration *configuration.Document `json:"configuration,omitempty"`
}

// Line is one line of a trace. Exactly one field other than At is set.
type Line struct {
	// At is the time of an event since the beginning; it never decreases from line to line.
	At            Duration                `json:"at,omitempty"`
	Header        *Header                 `json:"header,omitempty"`
	WorkerJoined  *WorkerJoined           `json:"worker_joined,omitempty"`
	Heartbeat     *Heartbeat              `json:"heartbeat,omitempty"`
	Usage         *Usage                  `json:"usage,omitempty"`
	WorkerLeft    *WorkerName             `json:"worker_left,omitempty"`
	WorkerFailed  *WorkerName             `json:"worker_failed,omitempty"`
	WorkerFaulty  *WorkerFaulty           `json:"worker_faulty,omitempty"`
	LinkLost      *WorkerName             `json:"link_lost,omitempty"`
	LinkRestored  *WorkerName             `json:"link_restored,omitempty"`
	Zone          *ZoneChange             `json:"zone,omitempty"`
	Configuration *configuration.Document `json:"configuration,omitempty"`
	Submit        *Submit                 `json:"submit,omitempty"`
	Cancel        *TaskName               `json:"cancel,omitempty"`
	Report        *Report                 `json:"report,omitempty"`
	Request       *Request                `json:"request,omitempty"`
	Requests      *Requests               `json:"requests,omitempty"`
	Reply         *Reply                  `json:"reply,omitempty"`
	Store         *Store                  `json:"store,omitempty"`
	Expect        *Expectation            `json:"expect,omitempty"`

	number int
}

// Number returns the number of the line in its trace, from 1.
func (l *Line) Number() int { return l.number }

// bodies reports for each body whether it is set.
func (l *Line) bodies() []bool {
	return []bool{
		l.Header != nil, l.WorkerJoined != nil, l.Heartbeat != nil, l.Usage != nil, l.WorkerLeft != nil,
		l.WorkerFailed != nil, l.WorkerFaulty != nil, l.LinkLost != nil, l.LinkRestored != nil, l.Zone != nil,
		l.Configuration != nil, l.Submit != nil, l.Cancel != nil, l.Report != nil, l.Request != nil,
		l.Requests != nil, l.Reply != nil, l.Store != nil, l.Expect != nil,
	}
}

// WorkerJoined says that a worker connected. The same name with the same boot is a reconnection.
type WorkerJoined struct {
	Name     string            `json:"name"`
	Zone     string            `json:"zone"`
	Rack     string            `json:"rack,omitempty"`
	Boot     string            `json:"boot"`
	Session  uint64            `json:"session,omitempty"`
	Capacity resource.Quantity `json:"capacity"`
	Targets  []Target          `json:"targets,omitempty"`
	// Every is the interval of derived heartbeats and usage reports; zero if the trace states them.
	Every Duration `json:"every,omitempty"`
}

// Target is a back end that a worker announces.
type Target struct {
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections,omitempty"`
	SlotsUsed   int    `json:"slots_used,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	// WithReplica says that the target exists only while a replica of the service runs on the worker.
	WithReplica bool `json:"with_replica,omitempty"`
}

// Heartbeat is a worker's report of its free capacity and targets.
type Heartbeat struct {
	Worker  string            `json:"worker"`
	Free    resource.Quantity `json:"free"`
	Targets []Target          `json:"targets,omitempty"`
	Leaving bool              `json:"leaving,omitempty"`
}

// Usage is a late report of what the tasks of a worker use.
type Usage struct {
	Worker    string           `json:"worker"`
	Age       Duration         `json:"age,omitempty"`
	Tasks     []TaskUsage      `json:"tasks,omitempty"`
	Latencies []ServiceLatency `json:"latencies,omitempty"`
}

// TaskUsage is the use of one attempt.
type TaskUsage struct {
	Task             string            `json:"task"`
	Attempt          uint32            `json:"attempt"`
	Class            string            `json:"class"`
	Size             resource.Quantity `json:"size"`
	Use              resource.Quantity `json:"use"`
	ProgressPermille int               `json:"progress_permille,omitempty"`
	ThrottlePermille int               `json:"throttle_permille,omitempty"`
}

// ServiceLatency is the latency of one service on a worker over the last report interval.
type ServiceLatency struct {
	Service  string   `json:"service"`
	Requests int64    `json:"requests"`
	P99      Duration `json:"p99"`
}

// WorkerName names a worker.
type WorkerName struct {
	Name string `json:"name"`
}

// WorkerFaulty says whether a worker fails every task that it starts.
type WorkerFaulty struct {
	Name   string `json:"name"`
	Faulty bool   `json:"faulty"`
}

// ZoneChange takes a zone out of service or returns it.
type ZoneChange struct {
	Name      string `json:"name"`
	InService bool   `json:"in_service"`
}

// Submit is a submitted specification.
type Submit struct {
	Name            string            `json:"name"`
	Kind            string            `json:"kind"`
	Team            string            `json:"team"`
	Class           string            `json:"class"`
	Priority        string            `json:"priority,omitempty"`
	Size            resource.Quantity `json:"size"`
	ExpectedRunTime Duration          `json:"expected_run_time,omitempty"`
	NonIdempotent   bool              `json:"non_idempotent,omitempty"`
	Zones           []string          `json:"zones,omitempty"`
	SpreadGroup     string            `json:"spread_group,omitempty"`
	// Run states what the worker makes of the task; without it the trace states the reports.
	Run *Run `json:"run,omitempty"`
}

// Run states the behaviour of a task at its worker.
type Run struct {
	// Time is the undisturbed run time; zero if the task runs until it is stopped.
	Time Duration `json:"time,omitempty"`
	// Checkpoint is the interval of the checkpoints to which an eviction returns; zero if an
	// eviction keeps all progress.
	Checkpoint Duration `json:"checkpoint,omitempty"`
	// FailAfter is the time after which each attempt fails; zero if none does.
	FailAfter Duration `json:"fail_after,omitempty"`
	// Use is the real use; zero if it equals the declared size.
	Use resource.Quantity `json:"use"`
	// Slowdown is the factor by which the task lengthens requests on its worker; zero means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// TaskName names a task by its id.
type TaskName struct {
	Task string `json:"task"`
}

// Report is a worker's report about an attempt.
type Report struct {
	Worker           string `json:"worker"`
	Boot             string `json:"boot"`
	Session          uint64 `json:"session,omitempty"`
	Task             string `json:"task"`
	Attempt          uint32 `json:"attempt"`
	Event            string `json:"event"`
	Checkpoint       string `json:"checkpoint,omitempty"`
	ProgressPermille int    `json:"progress_permille,omitempty"`
	Detail           string `json:"detail,omitempty"`
}

// Request is a caller's request.
type Request struct {
	ID         string   `json:"id"`
	Service    string   `json:"service"`
	Team       string   `json:"team"`
	Caller     string   `json:"caller,omitempty"`
	Priority   string   `json:"priority,omitempty"`
	Timeout    Duration `json:"timeout"`
	Idempotent bool     `json:"idempotent,omitempty"`
	// ServiceTime is the undisturbed time at the target; zero if the trace states the replies.
	ServiceTime Duration `json:"service_time,omitempty"`
}

// Requests is a stream of like requests at a fixed interval. Their ids are the stated one with a
// hyphen and the number of the request from 0.
type Requests struct {
	Request
	Count int      `json:"count"`
	Every Duration `json:"every"`
}

// Reply is a worker's reply to an attempt of a request.
type Reply struct {
	Worker  string `json:"worker"`
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Outcome string `json:"outcome"`
	Status  int    `json:"status,omitempty"`
	// Reason is the number of the wire.NotRunReason.
	Reason uint8 `json:"reason,omitempty"`
}

// Store says whether the key-value service can be reached.
type Store struct {
	Up bool `json:"up"`
}
