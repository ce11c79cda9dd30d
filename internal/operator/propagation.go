package operator

import (
	"sort"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/wire"
)

// revisions is what is known of the revision of each place.
type revisions struct {
	// self and selfRevision are this entry and the highest revision it knows.
	self         string
	selfRevision uint64
	// configured lists the entries of the document; an entry that is down or partitioned is among them.
	configured []string
	registered []wire.EntryAddress
	peers      map[string]uint64
	workers    []WorkerView
}

// propagation says where the revision is not yet in force. An entry or worker that cannot be heard
// counts as behind, because it may still act on an older revision. Lost workers are left out: their
// lease is over, so that nothing runs or starts there.
func (r revisions) propagation(revision uint64) *operatorv1.Propagation {
	result := &operatorv1.Propagation{Revision: revision}
	for _, name := range r.entries() {
		result.EntriesTotal++
		if r.entryRevision(name) < revision {
			result.EntriesBehind = append(result.EntriesBehind, name)
		}
	}
	for _, worker := range r.workers {
		if worker.Lost {
			continue
		}
		result.WorkersTotal++
		if worker.Revision < revision {
			result.WorkersBehind = append(result.WorkersBehind, worker.Name)
		}
	}
	sort.Strings(result.WorkersBehind)
	return result
}

// entries returns the names of all entries, configured, registered or connected, in order.
func (r revisions) entries() []string {
	names := map[string]bool{r.self: true}
	for _, name := range r.configured {
		names[name] = true
	}
	for _, entry := range r.registered {
		names[entry.Name] = true
	}
	for name := range r.peers {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}

func (r revisions) entryRevision(name string) uint64 {
	if name == r.self {
		return r.selfRevision
	}
	return r.peers[name]
}
