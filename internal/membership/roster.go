package membership

import (
	"slices"
	"strings"
	"time"

	"clementineflow/internal/store"
)

// tombstoneRetention is how long ended registrations are remembered; it is far above the term and
// margin of a worker lease, which are the times that ExpiredWithin is asked about.
const tombstoneRetention = time.Minute

// member is what is known about one name.
type member struct {
	entry      Entry
	registered bool
	revision   store.Revision
	// change orders the changes of the roster, to tell those before a list from those after it.
	change uint64
	// ended is when the name's last registration was seen to have ended.
	ended time.Time
}

// roster holds the registered entries and those that ended recently. It is pure: times are passed
// in and callers serialize access.
type roster struct {
	members map[string]*member
	changes uint64
	// listed is the send time of the last list; watchedSince is when the unbroken sequence of lists
	// began, in which no registration can have come and gone unseen.
	listed       time.Time
	watchedSince time.Time
}

func newRoster() *roster { return &roster{members: make(map[string]*member)} }

// put applies a registration that was read or reported; older ones than known are ignored.
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

// remove applies the end of a registration.
func (r *roster) remove(key string, revision store.Revision, now time.Time) bool {
	known, ok := r.members[key]
	if !ok || revision <= known.revision || !known.registered {
		return false
	}
	r.end(known, now)
	known.revision = revision
	return true
}

func (r *roster) end(known *member, now time.Time) {
	r.changes++
	known.change = r.changes
	known.registered = false
	known.ended = now
}

// finishList removes the registrations that a list sent at the time sent did not contain, unless
// they changed after the list was sent, that is after the change number before.
func (r *roster) finishList(present map[string]bool, before uint64, sent, now time.Time) bool {
	changed := false
	for key, known := range r.members {
		if known.registered && !present[key] && known.change <= before {
			r.end(known, now)
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

// list returns the registered entries, or nothing before the first list.
func (r *roster) list() []Entry {
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

// watchedFor reports whether no registration can have ended unseen within d. The last list must be
// recent, since a broken watch shows nothing.
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
