// Package shard owns the durable task records of a region. Tasks are spread over 16 shards; each
// shard is one value in the store, owned by one entry at a time and changed by group commits.
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

// maxHistory is the number of former epochs whose last commit a document names.
const maxHistory = 16

// Document is the stored state of one shard.
type Document struct {
	ID uint16 `cbor:"1,keyasint"`
	// Owner is the name of the owning entry; empty if the shard was released.
	Owner string `cbor:"2,keyasint"`
	// Epoch grows by one with each claim.
	Epoch uint64 `cbor:"3,keyasint"`
	// CommitID is drawn for each write, so that a lost answer can be resolved by reading back.
	CommitID string                  `cbor:"4,keyasint"`
	Tasks    map[string]*task.Record `cbor:"5,keyasint,omitempty"`
	// Incarnation is the incarnation of the owning entry.
	Incarnation string `cbor:"6,keyasint,omitempty"`
	// History names the last commit of each of the latest former epochs, oldest first. With it an
	// owner that was replaced while an answer was lost learns whether that commit was applied.
	History []EpochEnd `cbor:"7,keyasint,omitempty"`
}

// EpochEnd names the last commit of an epoch.
type EpochEnd struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	CommitID string `cbor:"2,keyasint"`
}

// ForTask returns the shard of a task.
func ForTask(taskID string) uint16 { return uint16(xxhash.Sum64String(taskID) % Count) }

// Key returns the store key of a shard.
func Key(region string, id uint16) string {
	return "clementine/" + region + "/shards/" + strconv.Itoa(int(id))
}

// decodeDocument returns the document of a stored value, or wire.ErrMalformed. A task id without a
// record is malformed.
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

// Clone returns a deep copy.
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

// heldBy reports whether the incarnation of the entry owns the shard.
func (d *Document) heldBy(entry membership.Entry) bool {
	return d.Owner == entry.Name && d.Incarnation == entry.Incarnation
}

// lastCommit returns the last commit of a former epoch.
func (d *Document) lastCommit(epoch uint64) (string, bool) {
	for _, end := range d.History {
		if end.Epoch == epoch {
			return end.CommitID, true
		}
	}
	return "", false
}
