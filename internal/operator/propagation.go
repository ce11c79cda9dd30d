package operator

import (
	"sort"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/wire"
)

// revisionSnapshot holds the last known configuration revision of each entry and worker.
type revisionSnapshot struct {
	// self is the name of this entry; selfRevision is the highest revision that it has received.
	self         string
	selfRevision uint64
	// configured lists the entries in the document, including those that are down or partitioned.
	configured []string
	registered []wire.EntryAddress
	peers      map[string]uint64
	workers    []WorkerView
}

// propagation reports the entries and workers that have not confirmed the revision. An
// entry without a connection counts as behind, as does a worker that has not reported the revision,
// because it may still act on an older one. Lost workers are excluded: their lease has expired, so
// nothing runs or starts on them.
func (r revisionSnapshot) propagation(revision uint64) *operatorv1.Propagation {
	result := &operatorv1.Propagation{Revision: revision}
	for _, name := range r.entryNames() {
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

// entryNames returns the sorted names of all entries that are configured, registered or connected.
func (r revisionSnapshot) entryNames() []string {
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

func (r revisionSnapshot) entryRevision(name string) uint64 {
	if name == r.self {
		return r.selfRevision
	}
	return r.peers[name]
}
