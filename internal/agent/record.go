package agent

import (
	"github.com/charmbracelet/log"

	"clementineflow/internal/wire"
)

// record is one decision of the core, for the log and the metrics.
type record struct {
	level   log.Level
	message string
	// counter is the name of the metric that counts the decision; empty for none.
	counter string
	fields  []field
}

// field is one key and value of a record.
type field struct{ key, value string }

// notRunNames are the reasons for "not run" as they appear in logs and metrics.
var notRunNames = map[wire.NotRunReason]string{
	wire.NotRunNone: "none", wire.NotRunBusy: "busy", wire.NotRunNoTarget: "no_target",
	wire.NotRunLeaving: "leaving", wire.NotRunDeadline: "deadline", wire.NotRunConnect: "connect",
	wire.NotRunNeverSeen: "never_seen", wire.NotRunZone: "zone", wire.NotRunCancelled: "cancelled",
	wire.NotRunInvalid: "invalid",
}

// refusalNames are the reasons for refused starts as they appear in logs and metrics.
var refusalNames = map[wire.RefusalReason]string{
	wire.RefusalNone: "none", wire.RefusalCapacity: "capacity", wire.RefusalZone: "zone",
	wire.RefusalNoPermit: "no_permit", wire.RefusalNoLease: "no_lease",
	wire.RefusalStaleSession: "stale_session", wire.RefusalStaleEpoch: "stale_epoch",
	wire.RefusalTombstone: "tombstone", wire.RefusalLeaving: "leaving", wire.RefusalRuntime: "runtime",
}

// eventNames are the task events as they appear in logs and metrics.
var eventNames = map[wire.EventType]string{
	wire.EventStarted: "started", wire.EventFinished: "finished", wire.EventFailed: "failed",
	wire.EventEvicted: "evicted", wire.EventStopped: "stopped", wire.EventRefused: "refused",
}

// outcomeNames are the request outcomes as they appear in logs and metrics.
var outcomeNames = map[wire.Outcome]string{
	wire.OutcomeAnswered: "answered", wire.OutcomeNotRun: "not_run", wire.OutcomeUnknown: "unknown",
	wire.OutcomeRunning: "running",
}
