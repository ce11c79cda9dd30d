// Package fleet is the entry's side of the links with agents and peer entries. It keeps the view of
// each worker, acknowledges heartbeats, forwards the configuration and decides when a worker is lost.
package fleet

import (
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/wire"
)

// Errors of the hub.
var (
	// ErrNotConnected reports a message to a worker without a link; it was certainly not sent.
	ErrNotConnected = errors.New("fleet: worker is not connected")
	// ErrIncarnation reports a message meant for another incarnation; it was certainly not sent.
	ErrIncarnation = errors.New("fleet: worker has another incarnation")
	// ErrLeaving reports a request to a worker that has announced its stop; it was certainly not sent.
	ErrLeaving = errors.New("fleet: worker is leaving")
	// ErrConfig reports a Config that lacks a required field.
	ErrConfig = errors.New("fleet: incomplete configuration")
)

// Handler receives the events of the links. Calls must not block. Calls about the links of one worker
// are in order; the other calls come from the goroutine of the link.
type Handler interface {
	// WorkerConnected reports each new link, also one that replaces a link of the same incarnation.
	WorkerConnected(view View)
	// WorkerDisconnected reports the end of the last link of an incarnation.
	WorkerDisconnected(worker, incarnation string)
	RequestReply(worker string, reply *wire.RequestReply)
	QueryReply(worker string, reply *wire.QueryReply)
	TaskEvent(worker string, event *wire.TaskEvent)
	Usage(worker string, usage *wire.Usage)
}

// Status is what the hub needs to know of its own entry: its registration and its configuration.
type Status interface {
	Backed() bool
	StoreReachable() bool
	ConfirmationAge() (time.Duration, bool)
	Document() *configuration.Document
	Observe(document *configuration.Document)
	// Entries lists the entries that are registered, or were last known to be.
	Entries() []wire.EntryAddress
	// RegisteredNames lists the entries that are registered in the store.
	RegisteredNames() []string
	// ExpiredWithin lists the entries whose registration ended within the duration. It lists all
	// entries that could have been registered if this entry has not watched for that long.
	ExpiredWithin(window time.Duration) []string
}
