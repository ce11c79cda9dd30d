package shard

import (
	"testing"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// FuzzDocument guards against a panic on a damaged shard document, and against a decoded document that
// cannot be encoded again.
func FuzzDocument(f *testing.F) {
	seed := &Document{ID: 3, Owner: "a", Epoch: 2, Tasks: map[string]*task.Record{
		"batch/t/n": {ID: "batch/t/n", Spec: task.Spec{Name: "n", Zones: []string{"z"}}},
	}}
	data, err := wire.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := decodeDocument(data)
		if err != nil {
			return
		}
		if _, err := wire.Marshal(document.Clone()); err != nil {
			t.Fatalf("decoded document does not encode: %v", err)
		}
	})
}
