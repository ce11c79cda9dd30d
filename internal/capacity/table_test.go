package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"clementineflow/internal/resource"
)

// TestNeverAboveCapacity guards against an admission that exceeds the worker in any component,
// including after the adoption of tasks of any size.
func TestNeverAboveCapacity(t *testing.T) {
	quantity := func(limit int64) *rapid.Generator[resource.Quantity] {
		return rapid.Custom(func(t *rapid.T) resource.Quantity {
			return resource.Quantity{
				MilliCPU:     rapid.Int64Range(-1, limit).Draw(t, "cpu"),
				MemoryBytes:  rapid.Int64Range(-1, limit).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(-1, limit).Draw(t, "accelerators"),
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		table.SetCapacity(quantity(20).Draw(t, "capacity"))
		adopted := map[TaskKey]bool{}
		key := func() TaskKey { return TaskKey{TaskID: rapid.StringMatching("[a-f]").Draw(t, "id"), Attempt: 1} }
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				before := table.Used()
				size := quantity(20).Draw(t, "size")
				if table.AdmitTask(key(), size) != nil {
					return
				}
				if !before.FitsIn(table.Capacity()) || !table.Used().FitsIn(table.Capacity()) {
					t.Fatalf("admitted above capacity: %+v of %+v", table.Used(), table.Capacity())
				}
			},
			"adopt": func(t *rapid.T) {
				k := key()
				adopted[k] = true
				table.AdoptTask(k, quantity(math.MaxInt64).Draw(t, "size"))
			},
			"release": func(_ *rapid.T) {
				k := key()
				delete(adopted, k)
				table.ReleaseTask(k)
			},
			"": func(t *rapid.T) {
				if table.Free().Validate() != nil || table.Used().Validate() != nil {
					t.Fatalf("negative: free %+v used %+v", table.Free(), table.Used())
				}
				if len(adopted) == 0 && !table.Used().FitsIn(table.Capacity()) {
					t.Fatalf("above capacity without adopted tasks")
				}
			},
		})
	})
}

// TestTargetLimits guards against more requests than slots or connections, including after a target was removed
// and registered again.
func TestTargetLimits(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	key := TargetKey{Service: "rail", Address: "127.0.0.1:1"}
	is.True(errors.Is(table.AdmitRequest(key), ErrNoTarget))
	is.NoErr(table.SetTarget(key, 3, 2))
	is.NoErr(table.AdmitRequest(key))
	is.NoErr(table.AdmitRequest(key))
	is.True(errors.Is(table.AdmitRequest(key), ErrBusy)) // connections
	table.RemoveTarget(key)
	is.True(errors.Is(table.AdmitRequest(key), ErrNoTarget))
	is.NoErr(table.SetTarget(key, 2, 9))
	is.True(errors.Is(table.AdmitRequest(key), ErrBusy)) // slots of requests that were in progress
	table.ReleaseRequest(key)
	is.NoErr(table.AdmitRequest(key))
	is.True(errors.Is(table.SetTarget(key, -1, 1), ErrInvalid))
}
