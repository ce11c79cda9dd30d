package process

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	operatorv1 "clementineflow/api/operator/v1"
)

// job returns the specification of a batch job.
func job(name string, run time.Duration) *operatorv1.TaskSpec {
	return &operatorv1.TaskSpec{
		Name: name, Kind: operatorv1.TaskKind_TASK_KIND_BATCH, Team: team, Class: "bend-plan",
		Size:    &operatorv1.Quantity{MilliCpu: 500, MemoryBytes: 64 << 20},
		Payload: []byte(fmt.Sprintf(`{"run_ms":%d}`, run.Milliseconds())),
	}
}

// submit submits a task and repeats the call with the same id while its outcome is open.
func (c *cluster) submit(e *entryNode, spec *operatorv1.TaskSpec) string {
	c.t.Helper()
	request := &operatorv1.SubmitTaskRequest{RequestId: uuid.NewString(), Spec: spec}
	var id string
	c.eventually("task "+spec.GetName()+" is accepted", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		accepted, err := e.client.SubmitTask(ctx, request)
		if err == nil {
			id = accepted.GetId()
		}
		return err
	})
	return id
}

// submitMany submits jobs through the entries in turn.
func (c *cluster) submitMany(count int, prefix string, spec func(name string) *operatorv1.TaskSpec) []string {
	c.t.Helper()
	ids := make([]string, count)
	for i := range count {
		ids[i] = c.submit(c.entries[i%len(c.entries)], spec(fmt.Sprintf("%s-%d", prefix, i)))
	}
	return ids
}

// get reads a task through an entry.
func (e *entryNode) get(id string) (*operatorv1.Task, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return e.client.GetTask(ctx, &operatorv1.GetTaskRequest{Id: id})
}

// waitState waits until all tasks are in one of the states and returns them.
func (c *cluster) waitState(e *entryNode, ids []string, states ...operatorv1.TaskState) []*operatorv1.Task {
	c.t.Helper()
	tasks := make([]*operatorv1.Task, len(ids))
	for i, id := range ids {
		c.eventually(fmt.Sprintf("task %s is %v", id, states), func() error {
			read, err := e.get(id)
			if err != nil {
				return err
			}
			for _, state := range states {
				if read.GetState() == state {
					tasks[i] = read
					return nil
				}
			}
			return fmt.Errorf("%s, attempt %d on %s, reason %q", read.GetState(), read.GetAttempt(), read.GetWorker(), read.GetReason())
		})
	}
	return tasks
}

func (c *cluster) waitRunning(ids []string) []*operatorv1.Task {
	c.t.Helper()
	return c.waitState(c.entries[len(c.entries)-1], ids, operatorv1.TaskState_TASK_STATE_RUNNING)
}

func (c *cluster) waitFinished(ids []string) {
	c.t.Helper()
	c.waitState(c.entries[len(c.entries)-1], ids, operatorv1.TaskState_TASK_STATE_FINISHED)
}

// checkFinishedOnce fails unless exactly one execution of each task finished.
func (c *cluster) checkFinishedOnce(ids []string) {
	c.t.Helper()
	executions := c.executions()
	for _, id := range ids {
		finished := 0
		for _, e := range executions[id] {
			if e.Ending == "finished" {
				finished++
			}
		}
		if finished != 1 {
			c.t.Errorf("task %s finished %d times: %s", id, finished, describe(executions[id]))
		}
	}
}

// checkRanOnce fails unless each task had exactly one execution.
func (c *cluster) checkRanOnce(ids []string) {
	c.t.Helper()
	executions := c.executions()
	for _, id := range ids {
		if len(executions[id]) != 1 {
			c.t.Errorf("task %s had %d executions: %s", id, len(executions[id]), describe(executions[id]))
		}
	}
}

func describe(list []execution) string {
	var text strings.Builder
	for _, e := range list {
		fmt.Fprintf(&text, "[attempt %d on %s, %s to %s, %s] ", e.Attempt, e.worker.name,
			e.StartedAt.Format(time.StampMilli), e.StoppedAt.Format(time.StampMilli), e.Ending)
	}
	return text.String()
}

// setZone takes a zone out of service or back, and returns when the change was accepted.
func (c *cluster) setZone(e *entryNode, zone string, out bool) time.Time {
	c.t.Helper()
	request := &operatorv1.SetZoneServiceRequest{RequestId: uuid.NewString(), Name: zone, OutOfService: out, Reason: "test"}
	c.eventually("the zone change is accepted", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := e.client.SetZoneService(ctx, request)
		return err
	})
	return time.Now()
}

// zoneLimit is the time after the acceptance after which no task starts in a zone out of service.
const zoneLimit = 5 * time.Second

// checkNoStartInZone fails if a task started in the zone later than the limit.
func (c *cluster) checkNoStartInZone(zone string, accepted time.Time) {
	c.t.Helper()
	for id, list := range c.executions() {
		for _, e := range list {
			if e.worker.zone == zone && e.StartedAt.After(accepted.Add(zoneLimit)) {
				c.t.Errorf("task %s started on %s %s after the zone was taken out", id, e.worker.name, e.StartedAt.Sub(accepted))
			}
		}
	}
}

// containsText reports whether a task id contains the text.
func containsText(id, text string) bool { return strings.Contains(id, text) }

func isCode(err error, code codes.Code) bool { return status.Code(err) == code }
