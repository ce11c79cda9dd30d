package agent

import (
	"github.com/charmbracelet/log"

	"clementineflow/internal/wire"
)

// record describes one decision of the core for the log and the metrics.
type record struct {
	level   log.Level
	message string
	// counter is the name of the metric that counts the decision, without the prefix of metricName; if
	// empty, the decision is not counted.
	counter string
	fields  []field
}

// field is a key and its value in a log record.
type field struct{ key, value string }

// notRunNames holds the names of the "not run" reasons in logs and metrics.
var notRunNames = map[wire.NotRunReason]string{
	wire.NotRunNone: "none", wire.NotRunBusy: "busy", wire.NotRunNoTarget: "no_target",
	wire.NotRunLeaving: "leaving", wire.NotRunDeadline: "deadline", wire.NotRunConnect: "connect",
	wire.NotRunNotReceived: "never_seen", wire.NotRunZone: "zone", wire.NotRunCancelled: "cancelled",
	wire.NotRunInvalid: "invalid",
}

// refusalNames holds the names of the reasons for refused starts in logs and metrics.
var refusalNames = map[wire.RefusalReason]string{
	wire.RefusalNone: "none", wire.RefusalCapacity: "capacity", wire.RefusalZone: "zone",
	wire.RefusalNoPermit: "no_permit", wire.RefusalNoLease: "no_lease",
	wire.RefusalStaleSession: "stale_session", wire.RefusalStaleEpoch: "stale_epoch",
	wire.RefusalTombstone: "tombstone", wire.RefusalLeaving: "leaving", wire.RefusalRuntime: "runtime",
}

// eventNames holds the names of the task events in logs and metrics.
var eventNames = map[wire.EventType]string{
	wire.EventStarted: "started", wire.EventFinished: "finished", wire.EventFailed: "failed",
	wire.EventEvicted: "evicted", wire.EventStopped: "stopped", wire.EventRefused: "refused",
}

// outcomeNames holds the names of the request outcomes in logs and metrics.
var outcomeNames = map[wire.Outcome]string{
	wire.OutcomeAnswered: "answered", wire.OutcomeNotRun: "not_run", wire.OutcomeUnknown: "unknown",
	wire.OutcomeRunning: "running",
}
