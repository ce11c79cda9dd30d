package httpruntime

import (
	"time"

	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// PathPrefix is the path of every call; the name of the call follows it.
const PathPrefix = "/runtime/v1/"

// Names of the calls.
const (
	CallAttach   = "attach"
	CallStart    = "start"
	CallRenew    = "renew"
	CallEvict    = "evict"
	CallStop     = "stop"
	CallThrottle = "throttle"
	CallList     = "list"
	CallForget   = "forget"
)

// Codes of an ErrorBody.
const (
	CodeStaleSession = "stale_session"
	CodeNotFound     = "not_found"
	CodeConflict     = "conflict"
	CodeTooLate      = "too_late"
	CodeUnavailable  = "unavailable"
)

// SessionRequest is the body of attach (where it is empty) and list.
type SessionRequest struct {
	Session task.Session `json:"session"`
}

// RenewRequest is the body of renew; Lease is in nanoseconds.
type RenewRequest struct {
	Session  task.Session  `json:"session"`
	Lease    time.Duration `json:"lease"`
	NotAfter time.Time     `json:"not_after"`
}

// AttemptRequest is the body of evict, stop and forget.
type AttemptRequest struct {
	Session task.Session `json:"session"`
	TaskID  string       `json:"task_id"`
	Attempt uint32       `json:"attempt"`
}

// ThrottleRequest is the body of throttle.
type ThrottleRequest struct {
	Session  task.Session `json:"session"`
	TaskID   string       `json:"task_id"`
	Permille int          `json:"permille"`
}

// EvictResponse is the answer to evict.
type EvictResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// ListResponse is the answer to list.
type ListResponse struct {
	Tasks []runtime.Status `json:"tasks"`
}

// EmptyResponse is the answer to calls without a result.
type EmptyResponse struct{}

// ErrorBody is the body of an answer with a status other than 200.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
