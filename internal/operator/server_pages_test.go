package operator

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// TestPaging guards against items that a paged list skips or repeats, and against a token that is
// accepted with another filter.
func TestPaging(t *testing.T) {
	is := is.New(t)
	f := network{}.startEntry(t, "a", &fakeTasks{})
	for _, id := range []string{"t1", "t2", "t3", "t4", "t5"} {
		f.tasks.records = append(f.tasks.records, task.Record{ID: id, Spec: task.Spec{Team: "planning"}})
		f.fleet.views = append(f.fleet.views, WorkerView{Name: id, Zone: "curepipe"})
		f.configuration.document.Services = append(f.configuration.document.Services, configuration.Service{Name: id})
		f.configuration.document.Changes = append(f.configuration.document.Changes, configuration.Change{Revision: uint64(len(f.fleet.views)), Summary: id})
	}
	slices.Reverse(f.fleet.views)
	ctx := t.Context()
	lists := map[string]func(token string) ([]string, string, error){
		"tasks": func(token string) ([]string, string, error) {
			r, err := f.client.ListTasks(ctx, &operatorv1.ListTasksRequest{PageSize: 2, PageToken: token, Team: "planning"})
			return keys(r.GetTasks(), (*operatorv1.Task).GetId), r.GetNextPageToken(), err
		},
		"workers": func(token string) ([]string, string, error) {
			r, err := f.client.ListWorkers(ctx, &operatorv1.ListWorkersRequest{PageSize: 2, PageToken: token, Zone: "curepipe"})
			return keys(r.GetWorkers(), (*operatorv1.Worker).GetName), r.GetNextPageToken(), err
		},
		"services": func(token string) ([]string, string, error) {
			r, err := f.client.ListServices(ctx, &operatorv1.ListServicesRequest{PageSize: 2, PageToken: token})
			return keys(r.GetServices(), (*operatorv1.Service).GetName), r.GetNextPageToken(), err
		},
		"revisions": func(token string) ([]string, string, error) {
			r, err := f.client.ListRevisions(ctx, &operatorv1.ListRevisionsRequest{PageSize: 2, PageToken: token})
			return keys(r.GetRevisions(), (*operatorv1.RevisionSummary).GetSummary), r.GetNextPageToken(), err
		},
	}
	for name, list := range lists {
		var all []string
		token := ""
		for pages := 1; ; pages++ {
			items, next, err := list(token)
			is.NoErr(err)
			all = append(all, items...)
			if token = next; token == "" {
				is.Equal(pages, 3)
				break
			}
			_, err = f.client.ListTasks(ctx, &operatorv1.ListTasksRequest{PageToken: token, Team: "other"})
			wantCode(t, err, CodeInvalidPageToken)
		}
		want := []string{"t1", "t2", "t3", "t4", "t5"}
		if name == "revisions" {
			slices.Reverse(want) // newest first
		}
		is.Equal(all, want)
	}
	_, err := f.client.ListTasks(ctx, &operatorv1.ListTasksRequest{PageSize: MaxPageSize + 1})
	wantCode(t, err, CodeInvalidRequest)
}

func keys[T any](items []T, key func(T) string) []string {
	var all []string
	for _, item := range items {
		all = append(all, key(item))
	}
	return all
}

// TestEnumerations guards against enumeration values that differ between the protobuf schema and
// internal/task.
func TestEnumerations(t *testing.T) {
	is := is.New(t)
	for kind := task.KindBatch; kind <= task.KindService; kind++ {
		is.Equal("TASK_KIND_"+strings.ToUpper(kind.String()), operatorv1.TaskKind(kind).String())
	}
	for priority := task.PriorityLow; priority <= task.PriorityUrgent; priority++ {
		is.Equal("PRIORITY_"+strings.ToUpper(priority.String()), operatorv1.Priority(priority).String())
	}
	for state := task.StatePending; state <= task.StateQuarantined; state++ {
		is.Equal("TASK_STATE_"+strings.ToUpper(state.String()), operatorv1.TaskState(state).String())
	}
}

// TestConversion guards against a field that is lost in the conversion to a message and back.
func TestConversion(t *testing.T) {
	is := is.New(t)
	size := resource.Quantity{MilliCPU: 1, MemoryBytes: 2, Accelerators: 3}
	spec := task.Spec{
		Name: "n", Kind: task.KindWatch, Team: "t", Class: "c", Priority: task.PriorityUrgent, Size: size,
		ExpectedRunTime: time.Minute, NonIdempotent: true, Zones: []string{"z"}, SpreadGroup: "g", Payload: []byte("p"),
	}
	is.Equal(specFromMessage(SpecToMessage(spec)), spec)
	document := configuration.Document{
		Revision: 4, Region: "r", Entries: []string{"a"},
		Zones:    []configuration.Zone{{Name: "z", OutOfService: true, Reason: "x"}},
		Teams:    []configuration.Team{{Name: "t", Quota: size, Weight: 2, RequestsPerSecond: 3}},
		Services: []configuration.Service{{Name: "s", Team: "t", Class: "c", Replicas: 1, Size: size, Timeout: time.Second, LatencyObjective: time.Millisecond, Payload: []byte("p")}},
		Weights:  configuration.Weights{TailLatency: 1, Throughput: 2, Evictions: 3, ZoneWork: 4},
	}
	is.True(reflect.DeepEqual(documentFromMessage(DocumentToMessage(&document)), document))
}

// TestErrorsDocumented guards against a code that is missing from docs/errors.md or documented with
// another status.
func TestErrorsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/errors.md")
	is.NoErr(err)
	names := map[string]codes.Code{}
	for code := codes.OK; code <= codes.Unauthenticated; code++ {
		names[strings.ToUpper(regexp.MustCompile(`([a-z])([A-Z])`).ReplaceAllString(code.String(), "${1}_${2}"))] = code
	}
	documented := map[Code]codes.Code{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([A-Z_]+) \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(page), -1) {
		code, ok := names[row[2]]
		is.True(ok)
		documented[Code(row[1])] = code
	}
	is.Equal(documented, statusCodes)
	source, err := os.ReadFile("code.go")
	is.NoErr(err)
	constants := regexp.MustCompile(`Code = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	is.Equal(len(constants), len(statusCodes)) // each constant has a status
}
