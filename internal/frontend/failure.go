package frontend

import (
	"time"

	"github.com/gofiber/fiber/v3"

	"clementineflow/internal/admission"
	"clementineflow/internal/frontend/exchange"
	"clementineflow/internal/wire"
)

// Code is the machine-readable code of an error that a caller receives.
type Code string

// Error codes.
const (
	CodeInvalid        Code = "invalid_request"
	CodeTooLarge       Code = "too_large"
	CodeUnknownService Code = "unknown_service"
	CodeUnknownTeam    Code = "unknown_team"
	CodeNotFound       Code = "not_found"
	CodeOverLimit      Code = "over_limit"
	CodeOverloaded     Code = "overloaded"
	CodeUnavailable    Code = "unavailable"
	CodeDeadline       Code = "deadline_exceeded"
	CodeUnknown        Code = "outcome_unknown"
)

// Values of the outcome header and of the outcome field in error bodies.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// failure is an error that is returned to a caller.
type failure struct {
	code       Code
	message    string
	retryAfter time.Duration
	// unknown is set if the request may have run.
	unknown bool
}

// invalidRequest returns a failure for a malformed request.
func invalidRequest(message string) *failure { return &failure{code: CodeInvalid, message: message} }

// outcome returns the outcome of the failed request.
func (f *failure) outcome() string {
	if f.unknown {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// status returns the HTTP status of the failure.
func (f *failure) status() int {
	if f.unknown {
		return fiber.StatusBadGateway
	}
	switch f.code {
	case CodeInvalid, CodeUnknownService, CodeUnknownTeam:
		return fiber.StatusBadRequest
	case CodeTooLarge:
		return fiber.StatusRequestEntityTooLarge
	case CodeNotFound:
		return fiber.StatusNotFound
	case CodeOverLimit:
		return fiber.StatusTooManyRequests
	case CodeDeadline:
		return fiber.StatusGatewayTimeout
	default:
		return fiber.StatusServiceUnavailable
	}
}

// Default times after which a caller may retry, used if no estimate is available.
const (
	retryAfterDrain = time.Second
	retryAfterFull  = 500 * time.Millisecond
)

// admissionFailure returns the failure for a request that admission refused.
func admissionFailure(decision admission.Decision) *failure {
	switch decision.Reason {
	case admission.UnknownTeam:
		return &failure{code: CodeUnknownTeam, message: "the team is not configured"}
	case admission.Shed:
		return &failure{code: CodeOverloaded, message: "overloaded: the priority is shed", retryAfter: decision.RetryAfter}
	default:
		return &failure{
			code: CodeOverLimit, message: "over a limit: " + decision.Reason.String(),
			retryAfter: decision.RetryAfter,
		}
	}
}

// failureOf returns the failure for a result other than an answer.
func failureOf(result *exchange.Result) *failure {
	if result.Outcome != wire.OutcomeNotRun {
		return &failure{code: CodeUnknown, message: "the request may have run: " + result.Cause.String(), unknown: true}
	}
	f := &failure{code: CodeUnavailable, message: "not run: " + result.Cause.String(), retryAfter: result.RetryAfter}
	switch result.Cause {
	case exchange.CauseDeadline:
		f.code = CodeDeadline
	case exchange.CauseQueueFull:
		f.code = CodeOverloaded
	case exchange.CauseRefused:
		if result.Reason == wire.NotRunInvalid {
			f.code = CodeInvalid
		}
	}
	if f.code != CodeInvalid && f.code != CodeDeadline && f.retryAfter == 0 {
		f.retryAfter = retryAfterFull
	}
	return f
}
