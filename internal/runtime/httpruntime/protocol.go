package httpruntime

import (
	"time"

	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// PathPrefix is the path of every call up to the name of the call.
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

// Codes of an ErrorBody; each stands for the error of package runtime with that name.
const (
	CodeStaleSession = "stale_session"
	CodeNotFound     = "not_found"
	CodeConflict     = "conflict"
	CodeTooLate      = "too_late"
	CodeUnavailable  = "unavailable"
)

// SessionRequest is the request body of attach, where the session is empty, and of list.
type SessionRequest struct {
	Session task.Session `json:"session"`
}

// RenewRequest is the request body of renew; Lease is in nanoseconds.
type RenewRequest struct {
	Session  task.Session  `json:"session"`
	Lease    time.Duration `json:"lease"`
	NotAfter time.Time     `json:"not_after"`
}

// AttemptRequest is the request body of evict, stop and forget.
type AttemptRequest struct {
	Session task.Session `json:"session"`
	TaskID  string       `json:"task_id"`
	Attempt uint32       `json:"attempt"`
}

// ThrottleRequest is the request body of throttle; Permille is the processor share in thousandths.
type ThrottleRequest struct {
	Session  task.Session `json:"session"`
	TaskID   string       `json:"task_id"`
	Permille int          `json:"permille"`
}

// EvictResponse is the response body of evict; Checkpoint refers to the checkpoint.
type EvictResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// ListResponse is the response body of list.
type ListResponse struct {
	Tasks []runtime.Status `json:"tasks"`
}

// EmptyResponse is the response body of calls without a result.
type EmptyResponse struct{}

// ErrorBody is the response body for any status other than 200.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
