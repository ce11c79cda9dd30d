package shard

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/membership"
	"clementineflow/internal/wire"
)

// TestIntendedOwnerBalance guards against an entry that owns far more than its share of the shards.
func TestIntendedOwnerBalance(t *testing.T) {
	is := is.New(t)
	var entries []membership.Entry
	for count := 1; count <= Count; count++ {
		name := "entry-" + strconv.Itoa(count)
		entries = append(entries, membership.Entry{EntryAddress: wire.EntryAddress{Name: name}})
		owned := map[string]int{}
		for id := range uint16(Count) {
			owned[intendedOwner(id, entries)]++
		}
		share := (Count + count - 1) / count
		for _, shards := range owned {
			is.True(shards <= share)
		}
	}
	is.Equal(intendedOwner(0, nil), "")
}
