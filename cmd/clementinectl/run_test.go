package main

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/operator"
)

var update = flag.Bool("update", false, "write the golden files")

const submitLine = "submit --name plan-4711 --team planning --class bend-plan --processors 1.5 --memory 4GB"

// TestGoldenOutput guards against output that changes for the scripts and people that read it.
func TestGoldenOutput(t *testing.T) {
	fake := &fakeServer{registered: true}
	address := fake.start(t)
	if code, _, messages := execute(t, address, "apply -f ../../examples/mu-island/configuration.yaml"); code != exitOK {
		t.Fatal(messages)
	}
	lines := map[string]string{
		"task": "get 4f1c", "tasks": "list --team planning", "explain": "explain 4f1c", "services": "service list",
		"zones": "zone list", "workers": "workers --zone curepipe", "entries": "entries", "revisions": "revisions",
		"propagation": "propagation 7", "configuration": "config get", "change": "zone in curepipe --request-id r1",
		"submit": submitLine + " --request-id r1",
	}
	for name, line := range lines {
		for _, format := range []string{"table", "json", "yaml"} {
			t.Run(name+"/"+format, func(t *testing.T) {
				code, output, messages := execute(t, address, line+" -o "+format)
				if code != exitOK {
					t.Fatalf("exit code %d: %s", code, messages)
				}
				path := filepath.Join("testdata", name+"."+format+".golden")
				if *update {
					if err := os.WriteFile(path, []byte(output), 0o600); err != nil {
						t.Fatal(err)
					}
				}
				want, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if output != string(want) {
					t.Fatalf("got:\n%s\nwant:\n%s", output, want)
				}
			})
		}
	}
}

// TestExitCodes guards against scripts that take a refused, unknown or missing result for another one.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		line    string
		failure operator.Code
		want    int
	}{
		{"get 4f1c", "", exitOK},
		{"--help", "", exitOK},
		{"version", "", exitOK},
		{"get", "", exitUsage},
		{"list --state lost", "", exitUsage},
		{"submit --name x", "", exitUsage},
		{"submit --name x --team t --class c --processors 1 --memory 4", "", exitUsage},
		{"submit -f run_test.go", "", exitUsage},
		{"submit -f none.yaml", "", exitUsage},
		{"get 4f1c --tls-ca none.pem", "", exitUsage},
		{"get 4f1c", operator.CodeTaskNotFound, exitNotFound},
		{"get 4f1c", operator.CodeInternal, exitFailure},
		{"get 4f1c", operator.CodeUnavailable, exitUnavailable},
		{"get 4f1c", operator.CodeDeadlineExceeded, exitUnavailable},
		{"zone in x", operator.CodeConflict, exitConflict},
		{submitLine, operator.CodeTaskExists, exitConflict},
		{submitLine, operator.CodeUnschedulable, exitFailure},
		{submitLine, operator.CodeQuotaExceeded, exitFailure},
		{submitLine, operator.CodeUnavailable, exitUnavailable},
		{submitLine, operator.CodeOutcomeUnknown, exitOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.line+" "+string(c.failure), func(t *testing.T) {
			fake := &fakeServer{}
			if c.failure != "" {
				fake.failWith(c.failure)
			}
			code, _, messages := execute(t, fake.start(t), c.line)
			if code != c.want {
				t.Fatalf("exit code %d, want %d: %s", code, c.want, messages)
			}
			if c.failure != "" && !strings.Contains(messages, string(c.failure)) {
				t.Fatalf("the code is not shown: %s", messages)
			}
		})
	}
}

// TestConnectionFailure guards against a certain failure that is reported as unknown, and an unknown
// outcome that is reported as certain.
func TestConnectionFailure(t *testing.T) {
	is := is.New(t)
	code, _, messages := execute(t, "127.0.0.1:1", submitLine)
	is.Equal(code, exitUnavailable) // nothing was sent
	is.True(strings.Contains(messages, "refused"))
	fake := &fakeServer{failure: status.Error(codes.Unavailable, "transport is closing")}
	address := fake.start(t)
	code, _, _ = execute(t, address, submitLine)
	is.Equal(code, exitOutcomeUnknown) // the call was sent
	code, _, _ = execute(t, address, "get 4f1c")
	is.Equal(code, exitUnavailable) // a read has no outcome
}

// TestRequestID guards against a change that is repeated, and against a failure after which the
// operator cannot repeat it.
func TestRequestID(t *testing.T) {
	is := is.New(t)
	fake := &fakeServer{}
	fake.failWith(operator.CodeOutcomeUnknown)
	address := fake.start(t)
	_, _, messages := execute(t, address, submitLine)
	is.Equal(len(fake.changes), 1) // not retried
	printed := regexp.MustCompile(`--request-id (\S+)`).FindStringSubmatch(messages)
	is.True(printed != nil)
	is.Equal(printed[1], fake.changes[0])
	_, _, _ = execute(t, address, submitLine+" --request-id "+printed[1])
	is.Equal(fake.changes[1], fake.changes[0])
	_, _, _ = execute(t, address, submitLine)
	is.True(fake.changes[2] != fake.changes[0]) // another call has another id
}

// TestZoneOutWait guards against a zone that is reported empty while work runs there or a place has an
// older revision.
func TestZoneOutWait(t *testing.T) {
	is := is.New(t)
	fake := &fakeServer{inForceAt: 2, emptyAt: 3, registered: true}
	code, _, messages := execute(t, fake.start(t), "zone out curepipe --reason power --wait")
	is.Equal(code, exitOK)
	is.True(strings.Contains(messages, "not yet in force at entry-b, worker-curepipe-1"))
	is.True(strings.Contains(messages, "1 tasks still run in curepipe: worker-curepipe-1 (4f1c)"))
	is.True(fake.polls >= 3)
	is.Equal(len(fake.changes), 1)

	fake = &fakeServer{emptyAt: 1 << 30, registered: true}
	code, _, messages = execute(t, fake.start(t), "zone out curepipe --reason power --wait --wait-timeout 700ms")
	is.Equal(code, exitWaitTimedOut)
	is.True(strings.Contains(messages, "revision 7 was accepted"))
	is.True(strings.Contains(messages, "task 4f1c on worker-curepipe-1: running: least interference"))

	fake = &fakeServer{registered: false} // entry-b is down and stays behind
	code, _, _ = execute(t, fake.start(t), "zone in curepipe --wait --wait-timeout 2s")
	is.Equal(code, exitOK)
}

// TestSubmitWait guards against a failed task that looks like success, and against a wait that ends
// with a broken connection.
func TestSubmitWait(t *testing.T) {
	is := is.New(t)
	fake := &fakeServer{states: []operatorv1.TaskState{
		operatorv1.TaskState_TASK_STATE_RUNNING, operatorv1.TaskState_TASK_STATE_FINISHED,
	}}
	code, output, messages := execute(t, fake.start(t), submitLine+" --wait")
	is.Equal(code, exitOK)
	is.True(strings.Contains(messages, "running") && strings.Contains(messages, "finished"))
	is.True(strings.Contains(output, "finished"))
	fake = &fakeServer{states: []operatorv1.TaskState{operatorv1.TaskState_TASK_STATE_QUARANTINED}}
	address := fake.start(t)
	code, _, _ = execute(t, address, submitLine+" --wait")
	is.Equal(code, exitFailure)
	code, _, _ = execute(t, address, "cancel 4f1c --wait")
	is.Equal(code, exitFailure) // it was not cancelled
	fake = &fakeServer{states: []operatorv1.TaskState{operatorv1.TaskState_TASK_STATE_RUNNING}}
	code, _, _ = execute(t, fake.start(t), submitLine+" --wait --wait-timeout 700ms")
	is.Equal(code, exitWaitTimedOut)
}

// TestConfigurationRoundTrip guards against "config get -o yaml" that apply reads differently.
func TestConfigurationRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, region := range []string{"bc-coast", "mu-island"} {
		fake := &fakeServer{}
		address := fake.start(t)
		code, _, _ := execute(t, address, "apply -f ../../examples/"+region+"/configuration.yaml")
		is.Equal(code, exitOK)
		fake.document.Zones[0].OutOfService, fake.document.Zones[0].Reason = true, "yes: \"010\"\nmore"
		fake.document.Services[0].Payload = []byte("a: b # c")
		first := proto.Clone(fake.document).(*operatorv1.Configuration)
		_, output, _ := execute(t, address, "config get -o yaml")
		path := filepath.Join(t.TempDir(), "region.yaml")
		is.NoErr(os.WriteFile(path, []byte(output), 0o600))
		code, _, messages := execute(t, address, "apply -f "+path)
		if code != exitOK {
			t.Fatal(messages, output)
		}
		is.True(proto.Equal(first, fake.document))
	}
}

// TestCompletion guards against a completion script that lacks a subcommand or flag.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	code, output, _ := execute(t, "127.0.0.1:1", "completion bash")
	is.Equal(code, exitOK)
	zone := regexp.MustCompile(`"zone out"\) words="([^"]*)"`).FindStringSubmatch(output)
	is.True(zone != nil)
	is.True(strings.Contains(zone[1], "--wait-timeout") && strings.Contains(zone[1], "--server"))
}
