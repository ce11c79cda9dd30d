package operator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/task"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func wantCode(t *testing.T, err error, code Code) *operatorv1.ErrorDetail {
	t.Helper()
	detail := DetailOf(err)
	if detail == nil || detail.GetCode() != string(code) || status.Code(err) != code.Status() {
		t.Fatalf("got error %v with detail %v, want code %s", err, detail, code)
	}
	return detail
}

// TestRequestIDRequired checks that each changing call rejects a missing or invalid request id. Without
// one, a retry would not be idempotent.
func TestRequestIDRequired(t *testing.T) {
	f := network{}.startEntry(t, "a", &fakeTasks{})
	ctx := t.Context()
	for _, id := range []string{"", "with space", strings.Repeat("x", 129)} {
		calls := map[string]func() error{
			"submit": func() error {
				_, err := f.client.SubmitTask(ctx, &operatorv1.SubmitTaskRequest{RequestId: id, Spec: validSpec("p1")})
				return err
			},
			"cancel": func() error {
				_, err := f.client.CancelTask(ctx, &operatorv1.CancelTaskRequest{RequestId: id, Id: "t"})
				return err
			},
			"create service": func() error {
				_, err := f.client.CreateService(ctx, &operatorv1.CreateServiceRequest{RequestId: id, Service: validService()})
				return err
			},
			"delete service": func() error {
				_, err := f.client.DeleteService(ctx, &operatorv1.DeleteServiceRequest{RequestId: id, Name: "s"})
				return err
			},
			"create zone": func() error {
				_, err := f.client.CreateZone(ctx, &operatorv1.CreateZoneRequest{RequestId: id, Zone: &operatorv1.Zone{Name: "z"}})
				return err
			},
			"delete zone": func() error {
				_, err := f.client.DeleteZone(ctx, &operatorv1.DeleteZoneRequest{RequestId: id, Name: "curepipe"})
				return err
			},
			"set zone": func() error {
				_, err := f.client.SetZoneService(ctx, &operatorv1.SetZoneServiceRequest{RequestId: id, Name: "curepipe"})
				return err
			},
			"apply": func() error {
				message := DocumentToMessage(f.configuration.Document())
				_, err := f.client.ApplyConfiguration(ctx, &operatorv1.ApplyConfigurationRequest{RequestId: id, Configuration: message})
				return err
			},
		}
		for name, call := range calls {
			t.Run(name, func(t *testing.T) {
				code := CodeInvalidRequest
				if id == "" {
					code = CodeMissingRequestID
				}
				wantCode(t, call(), code)
			})
		}
	}
}

func validService() *operatorv1.Service {
	return &operatorv1.Service{Name: "rail-fitting", Team: "planning", Class: "bracket-check", Timeout: durationpb.New(time.Second)}
}

// TestSubmitOnce guards against a retried submission that creates a second task.
func TestSubmitOnce(t *testing.T) {
	is := is.New(t)
	f := network{}.startEntry(t, "a", &fakeTasks{})
	request := &operatorv1.SubmitTaskRequest{RequestId: "r1", Spec: validSpec("plan-7")}
	first, err := f.client.SubmitTask(t.Context(), request)
	is.NoErr(err)
	second, err := f.client.SubmitTask(t.Context(), request)
	is.NoErr(err)
	is.True(proto.Equal(first, second))
	is.Equal(f.tasks.submits, 1)
	is.Equal(first.GetSpec().GetPriority(), operatorv1.Priority_PRIORITY_NORMAL) // an unset priority is normal
}

// TestChangeOnce guards against a retried configuration change that is committed twice, and against a
// response that omits the entries and workers that have not confirmed the revision.
func TestChangeOnce(t *testing.T) {
	is := is.New(t)
	f := network{}.startEntry(t, "a", &fakeTasks{})
	f.fleet.views = []WorkerView{{Name: "w1", Connected: true, Revision: 1}, {Name: "w2", Revision: 2}}
	request := &operatorv1.SetZoneServiceRequest{RequestId: "r1", Name: "curepipe", OutOfService: true, Reason: "power"}
	first, err := f.client.SetZoneService(t.Context(), request)
	is.NoErr(err)
	second, err := f.client.SetZoneService(t.Context(), request)
	is.NoErr(err)
	is.Equal(first.GetRevision(), uint64(2))
	is.Equal(second.GetRevision(), uint64(2))
	is.Equal(first.GetPropagation().GetWorkersBehind(), []string{"w1"})
	is.Equal(first.GetPropagation().GetEntriesBehind(), []string{"b", "gone"})
	is.True(!f.configuration.Document().ZoneInService("curepipe"))
}

// TestErrors guards against errors with a wrong status, a wrong code or a missing ErrorDetail.
func TestErrors(t *testing.T) {
	f := network{}.startEntry(t, "a", &fakeTasks{})
	ctx := t.Context()
	submit := func(change func(*operatorv1.TaskSpec)) error {
		spec := validSpec("p")
		change(spec)
		_, err := f.client.SubmitTask(ctx, &operatorv1.SubmitTaskRequest{RequestId: "r", Spec: spec})
		return err
	}
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Name = "a b" }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Kind = operatorv1.TaskKind_TASK_KIND_SERVICE }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Size.MilliCpu = -1 }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Size = nil }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Priority = 9 }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Payload = make([]byte, maxPayloadBytes+1) }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.ExpectedRunTime = durationpb.New(-1) }), CodeInvalidSpecification)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Zones = []string{"mars"} }), CodeUnknownZone)
	wantCode(t, submit(func(s *operatorv1.TaskSpec) { s.Team = "nobody" }), CodeUnknownTeam)
	_, err := f.client.GetTask(ctx, &operatorv1.GetTaskRequest{Id: "none"})
	wantCode(t, err, CodeTaskNotFound)
	_, err = f.client.SetZoneService(ctx, &operatorv1.SetZoneServiceRequest{RequestId: "r", Name: "mars"})
	wantCode(t, err, CodeZoneNotFound)
	_, err = f.client.CreateZone(ctx, &operatorv1.CreateZoneRequest{RequestId: "r", Zone: &operatorv1.Zone{Name: "curepipe"}})
	wantCode(t, err, CodeZoneExists)
	_, err = f.client.DeleteService(ctx, &operatorv1.DeleteServiceRequest{RequestId: "r", Name: "none"})
	wantCode(t, err, CodeServiceNotFound)
	stale := DocumentToMessage(f.configuration.Document())
	stale.Revision = 0
	_, err = f.client.ApplyConfiguration(ctx, &operatorv1.ApplyConfigurationRequest{RequestId: "r", Configuration: stale})
	if detail := wantCode(t, err, CodeConflict); detail.GetCurrentRevision() != 1 {
		t.Fatalf("current revision %d", detail.GetCurrentRevision())
	}
	stale.Region = "bc-coast"
	_, err = f.client.ApplyConfiguration(ctx, &operatorv1.ApplyConfigurationRequest{RequestId: "r", Configuration: stale})
	wantCode(t, err, CodeRegionMismatch)
	f.tasks.failure = errors.New("secret of the controller")
	if detail := wantCode(t, submit(func(*operatorv1.TaskSpec) {}), CodeInternal); strings.Contains(detail.GetMessage(), "secret") {
		t.Fatal("an internal error shows its text")
	}
	f.tasks.failure = context.DeadlineExceeded
	if detail := wantCode(t, submit(func(*operatorv1.TaskSpec) {}), CodeOutcomeUnknown); detail.GetRetryAfter() == nil {
		t.Fatal("no retry time")
	}
	_, err = f.client.GetTask(ctx, &operatorv1.GetTaskRequest{Id: "t"})
	wantCode(t, err, CodeDeadlineExceeded)
	f.configuration.document = nil
	_, err = f.client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	wantCode(t, err, CodeNoConfiguration)
}

// TestForwardOnce guards against two entries that forward a call to each other in a loop, and against
// a task call that fails because it was sent to an entry that is not the owner.
func TestForwardOnce(t *testing.T) {
	is := is.New(t)
	entries := network{}
	a := entries.startEntry(t, "a", &fakeTasks{owner: "b"})
	b := entries.startEntry(t, "b", &fakeTasks{})
	ctx := t.Context()
	request := &operatorv1.SubmitTaskRequest{RequestId: "r", Spec: validSpec("p")}
	created, err := a.client.SubmitTask(ctx, request)
	is.NoErr(err)
	is.Equal(created.GetId(), "t-p")
	is.Equal(b.tasks.submits, 1)
	a.entries.owner, a.tasks.owner = "b", "" // a can read the task but has no decisions about it
	a.tasks.records, b.tasks.decisionWorker = b.tasks.records, "w1"
	explained, err := a.client.ExplainTask(ctx, &operatorv1.GetTaskRequest{Id: "t-p"})
	is.NoErr(err)
	is.Equal(explained.GetDecisions()[0].GetWorker(), "w1")
	is.Equal(explained.GetDecisions()[0].GetFiltered()[0].GetWorkers(), int32(3))
	a.tasks.owner = "b"
	_, err = a.client.GetTask(ctx, &operatorv1.GetTaskRequest{Id: "none"})
	wantCode(t, err, CodeTaskNotFound) // the ErrorDetail of the owner is returned

	a.tasks.owner, b.tasks.owner = "b", "a" // each entry names the other as the owner
	a.tasks.calls, b.tasks.calls = 0, 0
	_, err = a.client.SubmitTask(ctx, request)
	wantCode(t, err, CodeNotOwner)
	is.Equal(a.tasks.calls, 1)
	is.Equal(b.tasks.calls, 1)

	a.tasks.owner = "gone"
	_, err = a.client.SubmitTask(ctx, request)
	wantCode(t, err, CodeUnavailable) // no connection, so nothing was sent
}

// TestForwardError guards against a change that is reported as not executed although the connection
// broke after the call was sent.
func TestForwardError(t *testing.T) {
	broken := status.Error(codes.Unavailable, "connection reset")
	wantCode(t, statusError(forwardError(broken, changeCall), changeCall), CodeOutcomeUnknown)
	wantCode(t, statusError(forwardError(broken, readCall), readCall), CodeUnavailable)
}

// TestWatch guards against a watch that does not end after the final state or that blocks the shutdown
// of an entry.
func TestWatch(t *testing.T) {
	is := is.New(t)
	entries := network{}
	a := entries.startEntry(t, "a", &fakeTasks{owner: "b"})
	b := entries.startEntry(t, "b", &fakeTasks{watched: make(chan task.Record, 2)})
	b.tasks.watched <- task.Record{ID: "t", State: task.StateRunning}
	b.tasks.watched <- task.Record{ID: "t", State: task.StateFinished}
	stream, err := a.client.WatchTask(t.Context(), &operatorv1.GetTaskRequest{Id: "t"})
	is.NoErr(err)
	for _, state := range []operatorv1.TaskState{operatorv1.TaskState_TASK_STATE_RUNNING, operatorv1.TaskState_TASK_STATE_FINISHED} {
		message, err := stream.Recv()
		is.NoErr(err)
		is.Equal(message.GetState(), state)
	}
	_, err = stream.Recv()
	is.Equal(err.Error(), "EOF")
	waiting, err := b.client.WatchTask(t.Context(), &operatorv1.GetTaskRequest{Id: "t"})
	is.NoErr(err)
	b.tasks.watched <- task.Record{ID: "t", State: task.StateRunning}
	_, err = waiting.Recv()
	is.NoErr(err)
	b.stop()
	_, err = waiting.Recv()
	wantCode(t, err, CodeUnavailable)
}

// TestPanic guards against a panic in a call that terminates the process.
func TestPanic(t *testing.T) {
	f := network{}.startEntry(t, "a", nil) // methods of the nil fake panic
	_, err := f.client.GetTask(t.Context(), &operatorv1.GetTaskRequest{Id: "t"})
	wantCode(t, err, CodeInternal)
}
