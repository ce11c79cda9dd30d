// Package fleet implements the entry's side of the links with agents and peer entries. It keeps the
// state of each worker, acknowledges heartbeats, forwards the configuration and decides when a worker
// is lost.
package fleet

import (
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/wire"
)

// Errors returned by New and the Send methods of a Hub.
var (
	// ErrNotConnected is returned if the worker has no link. The message was not sent.
	ErrNotConnected = errors.New("fleet: worker is not connected")
	// ErrIncarnation is returned if the connected worker has another incarnation than the message is
	// addressed to. The message was not sent.
	ErrIncarnation = errors.New("fleet: worker incarnation does not match")
	// ErrLeaving is returned for a request to a worker that has announced its shutdown. The request was
	// not sent.
	ErrLeaving = errors.New("fleet: worker is shutting down")
	// ErrConfig is returned by New if a required field of Config is not set.
	ErrConfig = errors.New("fleet: required field of Config is not set")
)

// Handler receives the events of the links. Its methods must not block. WorkerConnected and
// WorkerDisconnected are called in order for each worker; the other methods are called from the
// goroutine that reads the link.
type Handler interface {
	// WorkerConnected is called for each new link, including one that replaces a link of the same
	// incarnation, and for each further Hello on an open link.
	WorkerConnected(view View)
	// WorkerDisconnected is called when the last link of an incarnation has ended.
	WorkerDisconnected(worker, incarnation string)
	RequestReply(worker string, reply *wire.RequestReply)
	QueryReply(worker string, reply *wire.QueryReply)
	HandleTaskEvent(worker string, event *wire.TaskEvent)
	HandleUsage(worker string, usage *wire.Usage)
}

// Status provides the registration state and the configuration of the hub's own entry.
type Status interface {
	Backed() bool
	StoreReachable() bool
	ConfirmationAge() (time.Duration, bool)
	Document() *configuration.Document
	Observe(document *configuration.Document)
	// Entries returns the entries that are registered, or the last known ones.
	Entries() []wire.EntryAddress
	// RegisteredNames returns the names of the entries that are registered in the store.
	RegisteredNames() []string
	// ExpiredWithin returns the names of the entries whose registration ended within the window before
	// now. If this entry has watched the registrations for less than the window, it returns all
	// entries that could have been registered.
	ExpiredWithin(window time.Duration) []string
}
