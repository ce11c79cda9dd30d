// Package shard manages the durable task records of a region. Tasks are distributed over 16 shards by
// hash. Each shard is one value in the store that is owned by one entry at a time and changed by
// group commits.
package shard

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"clementineflow/internal/membership"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Count is the number of shards of a region. It is a power of two and fixed when a region is created.
const Count = 16

// maxHistoryEpochs is the maximum number of former epochs in the history of a document.
const maxHistoryEpochs = 16

// Document is the stored state of one shard.
type Document struct {
	ID uint16 `cbor:"1,keyasint"`
	// Owner is the name of the owning entry. It is empty if the shard was released.
	Owner string `cbor:"2,keyasint"`
	// Epoch increases with each claim, usually by one.
	Epoch uint64 `cbor:"3,keyasint"`
	// CommitID is unique for each commit, claim and release. If the response to a write is lost,
	// reading the document back shows by this ID whether the write was applied.
	CommitID string                  `cbor:"4,keyasint"`
	Tasks    map[string]*task.Record `cbor:"5,keyasint,omitempty"`
	// Incarnation is the incarnation of the owning entry.
	Incarnation string `cbor:"6,keyasint,omitempty"`
	// History holds the last commit of each of the most recent former epochs, oldest first. A former
	// owner whose last write got no response uses it to determine whether that write was applied.
	History []EpochEnd `cbor:"7,keyasint,omitempty"`
}

// EpochEnd identifies the last commit of a former epoch.
type EpochEnd struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	CommitID string `cbor:"2,keyasint"`
}

// ForTask returns the ID of the shard that holds a task, which is the hash of the task ID modulo Count.
func ForTask(taskID string) uint16 { return uint16(xxhash.Sum64String(taskID) % Count) }

// Key returns the store key of a shard of the region.
func Key(region string, id uint16) string {
	return "clementine/" + region + "/shards/" + strconv.Itoa(int(id))
}

// decodeDocument decodes a stored document. It returns wire.ErrMalformed if the value cannot be
// decoded or has a task ID without a record.
func decodeDocument(data []byte) (*Document, error) {
	document, err := wire.Unmarshal[Document](data)
	if err != nil {
		return nil, err
	}
	for id, record := range document.Tasks {
		if record == nil {
			return nil, errors.Wrapf(wire.ErrMalformed, "task %q has no record", id)
		}
	}
	return document, nil
}

// Clone returns a copy whose tasks and history can be changed without affecting the original.
func (d *Document) Clone() *Document {
	next := *d
	next.History = slices.Clone(d.History)
	next.Tasks = make(map[string]*task.Record, len(d.Tasks))
	for id, record := range d.Tasks {
		next.Tasks[id] = cloneRecord(record)
	}
	return &next
}

func cloneRecord(record *task.Record) *task.Record {
	next := *record
	next.Spec.Zones = slices.Clone(record.Spec.Zones)
	next.Spec.Payload = bytes.Clone(record.Spec.Payload)
	next.Failures = slices.Clone(record.Failures)
	next.Result = bytes.Clone(record.Result)
	return &next
}

// isOwnedBy reports whether the entry, in this incarnation, owns the shard.
func (d *Document) isOwnedBy(entry membership.Entry) bool {
	return d.Owner == entry.Name && d.Incarnation == entry.Incarnation
}

// lastCommitOf returns the ID of the last commit of a former epoch, if the history contains the epoch.
func (d *Document) lastCommitOf(epoch uint64) (string, bool) {
	for _, end := range d.History {
		if end.Epoch == epoch {
			return end.CommitID, true
		}
	}
	return "", false
}
