package operator

import "google.golang.org/grpc/codes"

// Code is the stable machine-readable code of an ErrorDetail. docs/errors.md describes each code.
type Code string

// Error codes.
const (
	CodeInvalidRequest       Code = "invalid_request"
	CodeMissingRequestID     Code = "missing_request_id"
	CodeInvalidPageToken     Code = "invalid_page_token"
	CodeInvalidSpecification Code = "invalid_specification"
	CodeUnschedulable        Code = "unschedulable"
	CodeUnknownZone          Code = "unknown_zone"
	CodeUnknownTeam          Code = "unknown_team"
	CodeTaskNotFound         Code = "task_not_found"
	CodeServiceNotFound      Code = "service_not_found"
	CodeZoneNotFound         Code = "zone_not_found"
	CodeTaskExists           Code = "task_exists"
	CodeServiceExists        Code = "service_exists"
	CodeZoneExists           Code = "zone_exists"
	CodeZoneInUse            Code = "zone_in_use"
	CodeConflict             Code = "conflict"
	CodeTaskEnded            Code = "task_ended"
	CodeNoConfiguration      Code = "no_configuration"
	CodeRegionMismatch       Code = "region_mismatch"
	CodeQuotaExceeded        Code = "quota_exceeded"
	CodeShardFull            Code = "shard_full"
	CodeOverloaded           Code = "overloaded"
	CodeUnavailable          Code = "unavailable"
	CodeNotOwner             Code = "not_owner"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodeCancelled            Code = "cancelled"
	CodeInternal             Code = "internal"
)

// statusCodes gives the gRPC status of each code.
var statusCodes = map[Code]codes.Code{
	CodeInvalidRequest:       codes.InvalidArgument,
	CodeMissingRequestID:     codes.InvalidArgument,
	CodeInvalidPageToken:     codes.InvalidArgument,
	CodeInvalidSpecification: codes.InvalidArgument,
	CodeUnschedulable:        codes.InvalidArgument,
	CodeUnknownZone:          codes.InvalidArgument,
	CodeUnknownTeam:          codes.InvalidArgument,
	CodeTaskNotFound:         codes.NotFound,
	CodeServiceNotFound:      codes.NotFound,
	CodeZoneNotFound:         codes.NotFound,
	CodeTaskExists:           codes.AlreadyExists,
	CodeServiceExists:        codes.AlreadyExists,
	CodeZoneExists:           codes.AlreadyExists,
	CodeConflict:             codes.Aborted,
	CodeTaskEnded:            codes.FailedPrecondition,
	CodeNoConfiguration:      codes.FailedPrecondition,
	CodeZoneInUse:            codes.FailedPrecondition,
	CodeRegionMismatch:       codes.FailedPrecondition,
	CodeQuotaExceeded:        codes.ResourceExhausted,
	CodeShardFull:            codes.ResourceExhausted,
	CodeOverloaded:           codes.ResourceExhausted,
	CodeUnavailable:          codes.Unavailable,
	CodeNotOwner:             codes.Unavailable,
	CodeOutcomeUnknown:       codes.DeadlineExceeded,
	CodeDeadlineExceeded:     codes.DeadlineExceeded,
	CodeCancelled:            codes.Canceled,
	CodeInternal:             codes.Internal,
}

// Status returns the gRPC status of the code, Internal for an unknown one.
func (c Code) Status() codes.Code {
	if status, ok := statusCodes[c]; ok {
		return status
	}
	return codes.Internal
}
