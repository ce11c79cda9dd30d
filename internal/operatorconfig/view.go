package operatorconfig

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/store"
)

// Snapshot is the state of a View at one moment.
type Snapshot struct {
	// Config is nil until a first configuration has been received.
	Config *Config
	// Revision is the revision of the configuration's key in the store.
	Revision store.Revision
	// ZonesOut holds the revision of the key of each zone that is out of service.
	ZonesOut map[string]store.Revision
}

// View holds the latest received state of the operator's keys. It ignores older revisions of a key. It is
// safe for concurrent use.
type View struct {
	source Source
	zones  []string
	logger *log.Logger

	mu        sync.Mutex
	snapshot  Snapshot
	revisions map[string]store.Revision
	confirmed time.Time
	changed   chan struct{}
}

// NewView returns an empty view of the operator's keys for the zones.
func NewView(source Source, zones []string, logger *log.Logger) *View {
	return &View{
		source: source, zones: zones, logger: logger,
		snapshot:  Snapshot{ZonesOut: map[string]store.Revision{}},
		revisions: map[string]store.Revision{}, changed: make(chan struct{}),
	}
}

// Snapshot returns the current state; its map must not be changed.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

// Confirmed returns the send time of the latest store call whose result was applied to the view.
func (v *View) Confirmed() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Apply updates the view from events of the operator's keys that were returned by a store call sent at the
// given time.
func (v *View) Apply(events []store.Event, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for _, event := range events {
		changed = v.applyLocked(event) || changed
	}
	if sent.After(v.confirmed) {
		v.confirmed = sent
	}
	if changed {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// Conditions returns the transaction conditions that hold while the snapshot is current. The conditions on
// zones are only needed for transactions that start work.
func (v *View) Conditions(snapshot Snapshot, withZones bool) []store.Condition {
	conditions := []store.Condition{{Key: v.source.ConfigurationKey(), Revision: snapshot.Revision}}
	if !withZones {
		return conditions
	}
	for _, zone := range v.zones {
		conditions = append(conditions, store.Condition{Key: v.source.ZoneKey(zone), Revision: snapshot.ZonesOut[zone]})
	}
	return conditions
}

// ApplyFailedConditions updates the view from the current values that a failed transaction returned.
func (v *View) ApplyFailedConditions(snapshot Snapshot, failed *store.ConditionError, withZones bool, sent time.Time) {
	var events []store.Event
	for _, condition := range v.Conditions(snapshot, withZones) {
		item := failed.Find(condition.Key)
		if item.Revision == condition.Revision {
			continue
		}
		// A deleted key has no revision. Use the first one after the expected revision for the deletion.
		event := store.Event{KeyValue: item, Deleted: item.Revision == 0}
		if event.Deleted {
			event.Revision = condition.Revision + 1
		}
		events = append(events, event)
	}
	v.Apply(events, sent)
}

// applyLocked applies one event and reports whether it changed the view.
func (v *View) applyLocked(event store.Event) bool {
	if event.Revision <= v.revisions[event.Key] {
		return false
	}
	if event.Key == v.source.ConfigurationKey() {
		return v.applyConfigLocked(event)
	}
	zone, ok := v.source.ZoneOf(event.Key)
	if !ok {
		return false
	}
	v.revisions[event.Key] = event.Revision
	out := make(map[string]store.Revision, len(v.snapshot.ZonesOut)+1)
	for name, revision := range v.snapshot.ZonesOut {
		out[name] = revision
	}
	if event.Deleted {
		delete(out, zone)
	} else {
		out[zone] = event.Revision
	}
	v.snapshot.ZonesOut = out
	v.logger.Info("zone changed", "zone", zone, "out_of_service", !event.Deleted, "revision", event.Revision)
	return true
}

// applyConfigLocked applies a newer configuration and reports whether it changed the view. A deletion or a value
// that can't be decoded leaves the former configuration in effect.
func (v *View) applyConfigLocked(event store.Event) bool {
	if event.Deleted {
		return false
	}
	config, err := v.source.Decode(event.Value)
	if err != nil {
		v.logger.Error("configuration can't be decoded; the former one stays in effect", "revision", event.Revision, "error", err)
		return false
	}
	for _, reason := range config.Malformed {
		store.ReportMalformed(v.logger, "configuration", event.Key, reason)
	}
	v.revisions[event.Key] = event.Revision
	v.snapshot.Config, v.snapshot.Revision = config, event.Revision
	v.logger.Info("configuration applied", "version", config.Version, "revision", event.Revision, "queues", len(config.Queues))
	return true
}
