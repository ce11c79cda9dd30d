package operator

import (
	"testing"

	"github.com/matryer/is"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/wire"
)

// TestZoneLifecycle guards against a zone that is deleted while it is in service or has workers, and
// against watches that miss a change or continue after the zone is deleted.
func TestZoneLifecycle(t *testing.T) {
	is := is.New(t)
	f := network{}.startEntry(t, "a", &fakeTasks{})
	stream, err := f.client.WatchZone(t.Context(), &operatorv1.GetZoneRequest{Name: "curepipe"})
	is.NoErr(err)
	first, err := stream.Recv()
	is.NoErr(err)
	is.True(!first.GetZone().GetOutOfService())

	deleteZone := func(id string) error {
		_, err := f.client.DeleteZone(t.Context(), &operatorv1.DeleteZoneRequest{RequestId: id, Name: "curepipe"})
		return err
	}
	wantCode(t, deleteZone("in-service"), CodeZoneInUse)
	_, err = f.client.SetZoneService(t.Context(), &operatorv1.SetZoneServiceRequest{
		RequestId: "out", Name: "curepipe", OutOfService: true,
	})
	is.NoErr(err)
	second, err := stream.Recv()
	is.NoErr(err)
	is.True(second.GetZone().GetOutOfService())

	f.fleet.setViews(WorkerView{Name: "w", Zone: "curepipe", Connected: true})
	wantCode(t, deleteZone("has-worker"), CodeZoneInUse)
	f.fleet.setViews()
	is.NoErr(deleteZone("gone"))
	for err == nil { // the watch may also send the changed number of workers
		_, err = stream.Recv()
	}
	wantCode(t, err, CodeZoneNotFound)
	_, err = f.client.GetZone(t.Context(), &operatorv1.GetZoneRequest{Name: "curepipe"})
	wantCode(t, err, CodeZoneNotFound)
}

// TestPropagation guards against entries and workers that count as current without a confirmation of
// the revision.
func TestPropagation(t *testing.T) {
	is := is.New(t)
	snapshot := revisionSnapshot{
		self: "a", selfRevision: 7, configured: []string{"a", "b", "c"},
		registered: []wire.EntryAddress{{Name: "a"}, {Name: "b"}}, peers: map[string]uint64{"b": 6},
		workers: []WorkerView{{Name: "w2", Revision: 6}, {Name: "w1", Revision: 0}, {Name: "w3", Revision: 7}, {Name: "w4", Lost: true}},
	}
	got := snapshot.propagation(7)
	is.Equal(got.GetEntriesBehind(), []string{"b", "c"})
	is.Equal(got.GetWorkersBehind(), []string{"w1", "w2"})
	is.Equal(got.GetEntriesTotal(), int32(3))
	is.Equal(got.GetWorkersTotal(), int32(3))
}
