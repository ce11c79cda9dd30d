package task

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"clementineflow/internal/resource"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSpec(kind Kind) Spec {
	s := Spec{
		Name: "job", Kind: kind, Team: "fleet", Class: "bend-plan", Priority: PriorityNormal,
		Size: resource.Quantity{MilliCPU: 1000, MemoryBytes: 1 << 30},
	}
	if kind == KindService {
		s.Service = "rail"
	}
	return s
}

func originOf(r *Record) Origin {
	return Origin{Worker: r.Worker, Attempt: r.Attempt, Session: r.Session}
}

// applyEvent applies the event with the given number to the record.
func applyEvent(r *Record, which int, from Origin, now time.Time) error {
	switch which {
	case 0:
		return r.Started(from, now)
	case 1:
		return r.Finished(from, nil, now)
	case 2:
		return r.Failed(from, "exit 1", now)
	case 3:
		return r.Evicted(from, "checkpoint", 10, now)
	case 4:
		return r.Refused(from, "capacity", now)
	case 5:
		return r.Stopped(from, now)
	case 6:
		return r.WorkerLost(from, true, now)
	case 7:
		return r.EvictRequested(from, "drain", now)
	default:
		newer := from
		newer.Session.Number++
		return r.SessionAdopted(newer, now)
	}
}

// TestTransitions guards against assigning a task that already has an assignment, a repeated or stale
// event that changes a record, an attempt number that is used twice, and a second run of a
// non-idempotent task after a start whose outcome is unknown.
func TestTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		s := newSpec(Kind(rapid.IntRange(1, 3).Draw(t, "kind")))
		s.NonIdempotent = rapid.Bool().Draw(t, "nonIdempotent")
		r := New(s, "r", now)
		var origins []Origin
		used := map[uint32]bool{}
		unknown := false
		t.Repeat(map[string]func(*rapid.T){
			"assign": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
				before := *r
				if r.Assign("w"+rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "w"), Session{BootID: "b"}, "", now) != nil {
					return
				}
				if before.HasAssignment() || before.IsFinal() || used[r.Attempt] || unknown {
					t.Fatalf("assigned %s attempt %d", before.State, r.Attempt)
				}
				used[r.Attempt] = true
				origins = append(origins, originOf(r))
			},
			"event": func(t *rapid.T) {
				if len(origins) == 0 {
					return
				}
				from := origins[rapid.IntRange(0, len(origins)-1).Draw(t, "origin")]
				if rapid.IntRange(0, 9).Draw(t, "otherWorker") == 0 {
					from.Worker = "w9"
				}
				which := rapid.IntRange(0, 8).Draw(t, "event")
				before := r.Clone()
				err := applyEvent(r, which, from, now)
				current := before.HasAssignment() && from.Attempt == before.Attempt && from.Worker == before.Worker
				if !current && (err == nil || !sameRecord(before, r)) {
					t.Fatalf("event %d of %v changed %+v", which, from, before)
				}
				if err != nil && !sameRecord(before, r) {
					t.Fatalf("failed event %d changed the record", which)
				}
				if err == nil && r.State == StatePending && r.Evictions > before.Evictions+1 {
					t.Fatalf("evictions %d -> %d", before.Evictions, r.Evictions)
				}
				if err == nil && s.NonIdempotent && (which == 5 || which == 6) && before.State != StateCancelling {
					unknown = true
					if r.State != StateUnknown {
						t.Fatalf("state %s after an unknown outcome", r.State)
					}
				}
				if again := applyEvent(r.Clone(), which, from, now); err == nil && which >= 1 && which <= 6 && again == nil {
					t.Fatalf("event %d applied twice", which)
				}
			},
			"cancel": func(*rapid.T) { _ = r.CancelRequested(now) },
			"": func(t *rapid.T) {
				if r.HasAssignment() != (r.Worker != "") {
					t.Fatalf("state %s with worker %q", r.State, r.Worker)
				}
				if s.Kind != KindBatch && (r.State == StateFinished || r.State == StateQuarantined) {
					t.Fatalf("%s ended as %s", s.Kind, r.State)
				}
			},
		})
	})
}

func sameRecord(a, b *Record) bool {
	return a.State == b.State && a.Attempt == b.Attempt && a.Worker == b.Worker && a.Session == b.Session &&
		a.Evictions == b.Evictions && len(a.Failures) == len(b.Failures) && a.Checkpoint == b.Checkpoint &&
		a.UpdatedAt.Equal(b.UpdatedAt) && a.NotBefore.Equal(b.NotBefore)
}

func newAssigned(t *testing.T, s Spec, worker string) *Record {
	t.Helper()
	r := New(s, "r", epoch)
	if err := r.Assign(worker, Session{BootID: "b", Number: 1}, "", epoch); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestResumesOnce guards against a repeated evicted event that makes a task pending a second time.
func TestResumesOnce(t *testing.T) {
	is := is.New(t)
	r := newAssigned(t, newSpec(KindBatch), "w1")
	first := originOf(r)
	is.NoErr(r.Evicted(first, "c1", 300, epoch))
	is.True(errors.Is(r.Evicted(first, "c1", 300, epoch), ErrWrongState))
	is.NoErr(r.Assign("w2", Session{BootID: "b2"}, "", epoch))
	is.True(errors.Is(r.Evicted(first, "c0", 100, epoch), ErrStaleAttempt))
	is.Equal(r.Attempt, uint32(2))
	is.Equal(r.Evictions, uint32(1))
	is.Equal(r.Checkpoint, "c1")
}

// TestQuarantine guards against retrying a failing batch task without limit, and against quarantining it
// for repeated failures on the same worker.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	r := New(newSpec(KindBatch), "r", epoch)
	now := epoch
	for _, worker := range []string{"w1", "w1", "w2", "w3"} {
		is.Equal(r.State, StatePending)
		now = now.Add(time.Hour)
		is.NoErr(r.Assign(worker, Session{}, "", now))
		is.NoErr(r.Failed(originOf(r), "exit 1", now))
	}
	is.Equal(r.State, StateQuarantined)
}

// TestWatchRestartDelay guards against a failing watch that is no longer restarted, or is restarted
// without a growing delay.
func TestWatchRestartDelay(t *testing.T) {
	is := is.New(t)
	r := New(newSpec(KindWatch), "r", epoch)
	now, previous := epoch, time.Duration(0)
	for range 8 {
		is.NoErr(r.Assign("w1", Session{}, "", now))
		is.NoErr(r.Failed(originOf(r), "exit 1", now))
		delay := r.NotBefore.Sub(now)
		is.True(delay > previous)
		is.True(errors.Is(r.Assign("w1", Session{}, "", now), ErrTooEarly))
		previous, now = delay, r.NotBefore
	}
}

// TestCancel guards against a cancellation that hides a success, leaves a task pending, or lets an
// evicted task run again.
func TestCancel(t *testing.T) {
	is := is.New(t)
	pending := New(newSpec(KindBatch), "r", epoch)
	is.NoErr(pending.CancelRequested(epoch))
	is.Equal(pending.State, StateCancelled)
	finished := newAssigned(t, newSpec(KindBatch), "w1")
	is.NoErr(finished.CancelRequested(epoch))
	is.Equal(finished.State, StateCancelling)
	is.NoErr(finished.Finished(originOf(finished), []byte("done"), epoch))
	is.Equal(finished.State, StateFinished)
	is.True(errors.Is(finished.CancelRequested(epoch), ErrWrongState))
	evicted := newAssigned(t, newSpec(KindWatch), "w1")
	is.NoErr(evicted.CancelRequested(epoch))
	is.NoErr(evicted.Evicted(originOf(evicted), "c", 0, epoch))
	is.Equal(evicted.State, StateCancelled)
}

// TestWorkerLost guards against a second run of a non-idempotent task that may have started, and against
// not retrying one that certainly did not start.
func TestWorkerLost(t *testing.T) {
	is := is.New(t)
	s := newSpec(KindBatch)
	s.NonIdempotent = true
	sent := newAssigned(t, s, "w1")
	is.NoErr(sent.WorkerLost(originOf(sent), true, epoch))
	is.Equal(sent.State, StateUnknown)
	unsent := newAssigned(t, s, "w1")
	is.NoErr(unsent.WorkerLost(originOf(unsent), false, epoch))
	is.Equal(unsent.State, StatePending)
	started := newAssigned(t, s, "w1")
	is.NoErr(started.Started(originOf(started), epoch))
	is.NoErr(started.WorkerLost(originOf(started), false, epoch))
	is.Equal(started.State, StateUnknown)
	otherBoot := newAssigned(t, s, "w1")
	from := originOf(otherBoot)
	from.Session.BootID = "b2"
	is.True(errors.Is(otherBoot.Refused(from, "stale session", epoch), ErrWrongSession))
}

// TestValidate guards against accepting invalid specifications, such as those too large for a shard.
func TestValidate(t *testing.T) {
	is := is.New(t)
	valid := newSpec(KindBatch)
	is.NoErr(valid.Validate())
	is.Equal(valid.ID(), "batch/fleet/job")
	for field, change := range map[string]func(*Spec){
		"name": func(s *Spec) { s.Name = "a/b" }, "team": func(s *Spec) { s.Team = "" },
		"class": func(s *Spec) { s.Class = strings.Repeat("a", MaxNameBytes+1) },
		"kind":  func(s *Spec) { s.Kind = 9 }, "priority": func(s *Spec) { s.Priority = 0 },
		"size":    func(s *Spec) { s.Size.MilliCPU = -1 },
		"payload": func(s *Spec) { s.Payload = make([]byte, MaxPayloadBytes+1) },
		"zones":   func(s *Spec) { s.Zones = []string{"-x"} },
	} {
		changed := newSpec(KindBatch)
		change(&changed)
		var invalid *InvalidSpecError
		is.True(errors.As(changed.Validate(), &invalid))
		is.Equal(invalid.Field, field)
	}
	missing := newSpec(KindBatch)
	missing.Size = resource.Quantity{}
	is.True(missing.Validate() != nil)
}
