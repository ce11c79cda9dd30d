package frontend

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Names of the headers that callers and entries exchange.
const (
	headerRequestID  = "Clementine-Request-Id"
	headerTimeout    = "Clementine-Timeout"
	headerIdempotent = "Clementine-Idempotent"
	headerPriority   = "Clementine-Priority"
	headerTeam       = "Clementine-Team"
	headerOutcome    = "Clementine-Outcome"
	headerWorker     = "Clementine-Worker"
	headerRetryAfter = "Retry-After"
	// headerPrefix is the prefix, in lower case, of headers that are for entries only and not forwarded.
	headerPrefix = "clementine-"
)

// Limits on what a caller may send.
const (
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes = 1 << 20
	// maxRequestIDBytes and maxTeamBytes bound the memory that an entry uses for identifiers.
	maxRequestIDBytes = 128
	maxTeamBytes      = 128
	// maxTimeout bounds how long a request may stay in memory.
	maxTimeout = 10 * time.Minute
	// defaultTimeout applies if neither the caller nor the service sets one.
	defaultTimeout = 10 * time.Second
	// maxHeaders bounds the number of headers that are forwarded.
	maxHeaders = 128
)

// controlHeaders holds the parsed Clementine headers of a caller's request.
type controlHeaders struct {
	requestID  string
	timeout    time.Duration // zero if the caller sets none
	idempotent bool
	priority   task.Priority
	team       string // empty if the caller sets none
}

// parseControl parses the Clementine headers of a request. A failure has CodeInvalid or CodeDeadline.
func parseControl(method string, header func(name string) string) (controlHeaders, *failure) {
	c := controlHeaders{requestID: header(headerRequestID), team: header(headerTeam), priority: task.PriorityNormal}
	if c.requestID == "" {
		c.requestID = uuid.NewString()
	}
	if !validToken(c.requestID, maxRequestIDBytes) {
		return controlHeaders{}, invalidRequest(headerRequestID + " is not 1 to 128 visible ASCII characters")
	}
	if c.team != "" && !validToken(c.team, maxTeamBytes) {
		return controlHeaders{}, invalidRequest(headerTeam + " is not 1 to 128 visible ASCII characters")
	}
	var failed *failure
	if c.timeout, failed = parseTimeout(header(headerTimeout)); failed != nil {
		return controlHeaders{}, failed
	}
	if c.idempotent, failed = parseIdempotent(method, header(headerIdempotent)); failed != nil {
		return controlHeaders{}, failed
	}
	c.priority, failed = parsePriority(header(headerPriority))
	return c, failed
}

// validToken reports whether the value has 1 to limit bytes, each a visible ASCII character.
func validToken(value string, limit int) bool {
	if value == "" || len(value) > limit {
		return false
	}
	for index := range len(value) {
		if value[index] <= ' ' || value[index] > '~' {
			return false
		}
	}
	return true
}

// parseTimeout parses a Go duration; an empty value is 0. A duration of zero or less fails with CodeDeadline.
func parseTimeout(value string) (time.Duration, *failure) {
	if value == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil {
		return 0, invalidRequest(headerTimeout + " is not a duration")
	}
	if timeout <= 0 {
		return 0, &failure{code: CodeDeadline, message: "the deadline is in the past"}
	}
	if timeout > maxTimeout {
		return 0, invalidRequest(headerTimeout + " is above " + maxTimeout.String())
	}
	return timeout, nil
}

// parseIdempotent parses a boolean; the default depends on the method.
func parseIdempotent(method, value string) (bool, *failure) {
	switch strings.ToLower(value) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
	default:
		return false, invalidRequest(headerIdempotent + " is neither true nor false")
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true, nil
	default:
		return false, nil
	}
}

// parsePriority parses a priority; the default is normal.
func parsePriority(value string) (task.Priority, *failure) {
	switch value {
	case "", "normal":
		return task.PriorityNormal, nil
	case "urgent":
		return task.PriorityUrgent, nil
	case "low":
		return task.PriorityLow, nil
	default:
		return 0, invalidRequest(headerPriority + " is none of urgent, normal and low")
	}
}

// hopByHopHeaders lists, in lower case, the headers that apply to one connection only (RFC 9110, section
// 7.6.1), and those that each HTTP client or server sets itself.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "expect": true,
}

// endToEndHeaders returns the headers to forward, without the hop-by-hop headers, those listed in the
// Connection header, and the Clementine headers.
func endToEndHeaders(headers []wire.Header) []wire.Header {
	connectionListed := make(map[string]bool)
	for _, header := range headers {
		if strings.EqualFold(header.Name, "Connection") {
			for token := range strings.SplitSeq(header.Value, ",") {
				connectionListed[strings.ToLower(strings.TrimSpace(token))] = true
			}
		}
	}
	kept := make([]wire.Header, 0, len(headers))
	for _, header := range headers {
		name := strings.ToLower(header.Name)
		if hopByHopHeaders[name] || connectionListed[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		kept = append(kept, header)
	}
	return kept
}
