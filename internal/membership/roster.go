package membership

import (
	"slices"
	"strings"
	"time"

	"clementineflow/internal/store"
)

// tombstoneRetention is how long ended registrations are kept. It is far longer than the term and margin
// of a worker lease, the period with which ExpiredWithin is called.
const tombstoneRetention = time.Minute

// member is the current or last registration of one name.
type member struct {
	entry      Entry
	registered bool
	revision   store.Revision
	// change is the number of the roster change that set this state. It tells whether the change came
	// before or after a list was sent.
	change uint64
	// ended is the time at which the end of a registration of the name was last detected.
	ended time.Time
}

// roster holds the current registrations and those that ended recently. It reads no clock and takes no
// lock: times are passed in and callers serialize access.
type roster struct {
	members map[string]*member
	changes uint64
	// listed is the send time of the last list. watchedSince is the send time of the first list of the
	// current sequence without a gap above LeaseTTL; no registration can start and expire undetected
	// within such a sequence.
	listed       time.Time
	watchedSince time.Time
}

func newRoster() *roster { return &roster{members: make(map[string]*member)} }

// put applies a registration from a list or a watch and reports whether the roster changed. It ignores
// registrations that are not newer than the known one.
func (r *roster) put(value store.KeyValue, entry Entry, now time.Time) bool {
	known, ok := r.members[value.Key]
	if ok && value.Revision <= known.revision {
		return false
	}
	next := &member{entry: entry, registered: true, revision: value.Revision}
	if ok {
		next.ended = known.ended
		if known.registered && known.entry.Incarnation != entry.Incarnation {
			next.ended = now
		}
	}
	r.changes++
	next.change = r.changes
	r.members[value.Key] = next
	return true
}

// remove applies the deletion of a registration and reports whether the roster changed.
func (r *roster) remove(key string, revision store.Revision, now time.Time) bool {
	known, ok := r.members[key]
	if !ok || revision <= known.revision || !known.registered {
		return false
	}
	r.markEnded(known, now)
	known.revision = revision
	return true
}

func (r *roster) markEnded(known *member, now time.Time) {
	r.changes++
	known.change = r.changes
	known.registered = false
	known.ended = now
}

// finishList ends the registrations that are not in a list sent at the time sent, unless they changed
// after the list was sent, that is after change number before. It reports whether the roster changed.
func (r *roster) finishList(present map[string]bool, before uint64, sent, now time.Time) bool {
	changed := false
	for key, known := range r.members {
		if known.registered && !present[key] && known.change <= before {
			r.markEnded(known, now)
			changed = true
		}
		if !known.registered && now.Sub(known.ended) > tombstoneRetention {
			delete(r.members, key)
		}
	}
	if r.listed.IsZero() || sent.Sub(r.listed) > LeaseTTL {
		r.watchedSince = sent
	}
	r.listed = sent
	return changed
}

// entries returns the registered entries, or nil before the first list.
func (r *roster) entries() []Entry {
	if r.listed.IsZero() {
		return nil
	}
	var entries []Entry
	for _, known := range r.members {
		if known.registered {
			entries = append(entries, known.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

func (r *roster) expiredWithin(d time.Duration, now time.Time, self string, known []string) []string {
	names := make(map[string]bool)
	for _, held := range r.members {
		if !held.ended.IsZero() && now.Sub(held.ended) <= d {
			names[held.entry.Name] = true
		}
	}
	if !r.watchedFor(d, now) {
		r.addUnregistered(names, known)
	}
	delete(names, self)
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// watchedFor reports whether no registration can have ended undetected within d. It requires a recent
// list, because a broken watch delivers no events.
func (r *roster) watchedFor(d time.Duration, now time.Time) bool {
	return !r.listed.IsZero() && now.Sub(r.listed) <= LeaseTTL && now.Sub(r.watchedSince) >= d
}

func (r *roster) addUnregistered(names map[string]bool, known []string) {
	if len(known) == 0 {
		names[UnknownEntry] = true
	}
	registered := make(map[string]bool)
	for _, held := range r.members {
		if held.registered {
			registered[held.entry.Name] = true
		}
	}
	for _, name := range known {
		if !registered[name] {
			names[name] = true
		}
	}
}
