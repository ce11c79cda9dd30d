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
// In order of their IDs, each shard is assigned to the entry with the highest rendezvous hash among
// those that are below their even share. Plain rendezvous hashing is too uneven for 16 shards: it
// gave two entries 3 and 13 shards.
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
		// The candidates are rebuilt for each shard because the Remove method of the library panics.
		candidates := rendezvous.New(names, xxhash.Sum64String)
		owner = candidates.Lookup(hashKey(shard))
		owned[owner]++
		if owned[owner] == share {
			names = slices.DeleteFunc(names, func(name string) bool { return name == owner })
		}
	}
	return owner
}

// hashKey returns the rendezvous hashing key of a shard.
func hashKey(id uint16) string { return "shard-" + strconv.Itoa(int(id)) }

// mayClaim reports whether the shard has no owner or its owner is no longer registered. An owner whose
// name is registered with another incarnation counts as unregistered: a name is registered again only
// after the lease of the former incarnation has ended.
func mayClaim(document *Document, entries []membership.Entry) bool {
	if document.Owner == "" {
		return true
	}
	return !slices.ContainsFunc(entries, document.isOwnedBy)
}

// claimDocument returns a copy of the document that self owns in a new epoch, which is higher than
// highestEpoch.
func claimDocument(document *Document, self membership.Entry, commitID string, highestEpoch uint64) *Document {
	next := *document
	next.History = slices.Clone(document.History)
	if document.Epoch > 0 {
		next.History = append(next.History, EpochEnd{Epoch: document.Epoch, CommitID: document.CommitID})
	}
	if excess := len(next.History) - maxHistoryEpochs; excess > 0 {
		next.History = slices.Delete(next.History, 0, excess)
	}
	next.Epoch = max(document.Epoch, highestEpoch) + 1
	next.Owner = self.Name
	next.Incarnation = self.Incarnation
	next.CommitID = commitID
	return &next
}

// releaseDocument returns a copy of the document without an owner.
func releaseDocument(document *Document, commitID string) *Document {
	next := *document
	next.Owner = ""
	next.Incarnation = ""
	next.CommitID = commitID
	return &next
}

// commitOutcome is the outcome, as read from the store, of a commit that got a conflict or no response.
type commitOutcome uint8

const (
	// outcomeApplied: the commit is durable.
	outcomeApplied commitOutcome = iota + 1
	// outcomeNotApplied: the commit was not applied and can no longer be applied.
	outcomeNotApplied
	// outcomePending: the stored document is unchanged; the write may still be in flight.
	outcomePending
	// outcomeUnknown: the history no longer contains the epoch of the commit.
	outcomeUnknown
)

// determineOutcome determines the outcome of a commit of the given epoch from the current stored
// document. changed reports whether the store revision differs from the one that the commit expected.
// The compare-and-swap can take effect only at the expected revision, so the outcome of the commit is
// final once the revision has changed.
func determineOutcome(current *Document, changed bool, epoch uint64, commitID string) commitOutcome {
	if current.CommitID == commitID {
		return outcomeApplied
	}
	if !changed {
		return outcomePending
	}
	if current.Epoch == epoch {
		return outcomeNotApplied
	}
	last, ok := current.lastCommitOf(epoch)
	switch {
	case !ok:
		return outcomeUnknown
	case last == commitID:
		return outcomeApplied
	default:
		return outcomeNotApplied
	}
}
