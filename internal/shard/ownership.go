package shard

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"clementineflow/internal/membership"
)

// intendedOwner returns the registered entry that should own the shard, or "" without entries.
//
// Each shard goes to the entry with the highest rendezvous hash that does not have its even share
// yet. Plain rendezvous hashing of 16 shards gave two entries 3 and 13 shards.
func intendedOwner(id uint16, entries []membership.Entry) string {
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name)
	}
	if len(names) == 0 {
		return ""
	}
	share := (Count + len(names) - 1) / len(names)
	owned := make(map[string]int, len(names))
	owner := ""
	for shard := range id + 1 {
		// The library's Remove panics, so the candidates are set anew when one has its share.
		candidates := rendezvous.New(names, xxhash.Sum64String)
		owner = candidates.Lookup(hashKey(shard))
		owned[owner]++
		if owned[owner] == share {
			names = slices.DeleteFunc(names, func(name string) bool { return name == owner })
		}
	}
	return owner
}

// hashKey is the key of a shard in rendezvous hashing.
func hashKey(id uint16) string { return "shard-" + strconv.Itoa(int(id)) }

// mayClaim reports whether the shard was released or the registration of its owner is gone. An owner
// of the same name and another incarnation is gone: a name is registered again only after the lease
// of its former incarnation has ended.
func mayClaim(document *Document, entries []membership.Entry) bool {
	if document.Owner == "" {
		return true
	}
	return !slices.ContainsFunc(entries, document.heldBy)
}

// claimed returns the document as claimed by self. epochFloor is the highest epoch that was seen.
func claimed(document *Document, self membership.Entry, commitID string, epochFloor uint64) *Document {
	next := *document
	next.History = slices.Clone(document.History)
	if document.Epoch > 0 {
		next.History = append(next.History, EpochEnd{Epoch: document.Epoch, CommitID: document.CommitID})
	}
	if excess := len(next.History) - maxHistory; excess > 0 {
		next.History = slices.Delete(next.History, 0, excess)
	}
	next.Epoch = max(document.Epoch, epochFloor) + 1
	next.Owner = self.Name
	next.Incarnation = self.Incarnation
	next.CommitID = commitID
	return &next
}

// released returns the document without an owner.
func released(document *Document, commitID string) *Document {
	next := *document
	next.Owner = ""
	next.Incarnation = ""
	next.CommitID = commitID
	return &next
}

// verdict says what the store shows about a commit that met a conflict or lost its answer.
type verdict uint8

const (
	// verdictApplied: the commit is durable.
	verdictApplied verdict = iota + 1
	// verdictNotApplied: the commit was not applied and never will be.
	verdictNotApplied
	// verdictPending: the shard is as before; the commit may still be on its way.
	verdictPending
	// verdictUnknown: the shard has moved on too far to tell.
	verdictUnknown
)

// judge decides what became of a commit of the given epoch that was written over the store revision
// base, from the document that the store shows now. The compare-and-swap can take effect only while
// the revision is base, so a document that has moved on settles it.
func judge(current *Document, moved bool, epoch uint64, commitID string) verdict {
	if current.CommitID == commitID {
		return verdictApplied
	}
	if !moved {
		return verdictPending
	}
	if current.Epoch == epoch {
		return verdictNotApplied
	}
	last, ok := current.lastCommit(epoch)
	switch {
	case !ok:
		return verdictUnknown
	case last == commitID:
		return verdictApplied
	default:
		return verdictNotApplied
	}
}
