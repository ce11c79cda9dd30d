package main

import (
	"context"
	"os"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/operator"
	"clementineflow/internal/resource"
	"clementineflow/internal/settings"
	"clementineflow/internal/task"
)

// submitCommand submits a task.
type submitCommand struct {
	changeFlags
	waitFlags
	File            string        `short:"f" placeholder:"FILE" help:"Task as YAML, - for standard input; instead of the flags below."`
	Name            string        `help:"Name, unique for the team and kind."`
	Kind            string        `enum:"batch,watch" default:"batch" help:"batch or watch."`
	Team            string        `help:"Team whose quota is used."`
	Class           string        `help:"Interference class, such as bend-plan."`
	Priority        string        `enum:"low,normal,urgent" default:"normal" help:"low, normal or urgent."`
	Processors      float64       `help:"Processors, such as 1.5."`
	Memory          string        `help:"Memory with its unit, such as 4GB."`
	Accelerators    int64         `help:"Whole accelerators."`
	ExpectedRunTime time.Duration `help:"Declared run time, such as 20m."`
	NonIdempotent   bool          `help:"Never run again after a start whose outcome is unknown."`
	Zone            []string      `help:"Zone that may hold the task; repeatable. Default: any."`
	SpreadGroup     string        `help:"Tasks of a group are spread over racks and zones."`
	PayloadFile     string        `placeholder:"FILE" help:"Payload for the worker runtime, at most 16 KiB."`
}

// Help returns the examples.
func (c *submitCommand) Help() string {
	return `Examples:
  clementinectl submit --name plan-4711 --team planning --class bend-plan --processors 2 --memory 4GB
  clementinectl submit -f certificate.yaml --wait`
}

// Run submits the task.
func (c *submitCommand) Run(ctx context.Context, s *session) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	request := &operatorv1.SubmitTaskRequest{RequestId: c.id(), Spec: operator.SpecToMessage(*spec)}
	created, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.SubmitTask, request)
	if err != nil {
		return err
	}
	if !c.Wait {
		return s.print(created, func() table { return tasksTable(created) })
	}
	return s.waitForTask(ctx, c.waitFlags, created, submitReached)
}

// submitReached reports whether a submitted task has ended, or runs if it is a watch.
func submitReached(t *operatorv1.Task) (done, good bool) {
	if t.GetSpec().GetKind() == operatorv1.TaskKind_TASK_KIND_WATCH && t.GetState() == operatorv1.TaskState_TASK_STATE_RUNNING {
		return true, true
	}
	return isFinal(t.GetState()), t.GetState() == operatorv1.TaskState_TASK_STATE_FINISHED
}

func (c *submitCommand) spec() (*task.Spec, error) {
	if c.File == "" {
		return c.specFromFlags()
	}
	if c.Name != "" || c.Team != "" || c.Class != "" || c.Memory != "" || c.Processors != 0 || c.Accelerators != 0 ||
		c.ExpectedRunTime != 0 || c.NonIdempotent || len(c.Zone) > 0 || c.SpreadGroup != "" || c.PayloadFile != "" ||
		c.Kind != "batch" || c.Priority != "normal" {
		return nil, usageError("--file and flags that describe the task exclude each other")
	}
	data, err := settings.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	return settings.DecodeTask(c.File, data)
}

func (c *submitCommand) specFromFlags() (*task.Spec, error) {
	if c.Name == "" || c.Team == "" || c.Class == "" || c.Processors == 0 || c.Memory == "" {
		return nil, usageError("--name, --team, --class, --processors and --memory are required without --file")
	}
	size, err := settings.ParseSize(c.Memory)
	if err != nil {
		return nil, usageError("--memory is %q; allowed: a size with its unit, such as 4GB", c.Memory)
	}
	spec := &task.Spec{
		Name: c.Name, Kind: task.KindBatch, Team: c.Team, Class: c.Class, Priority: task.PriorityNormal,
		Size: resource.Quantity{
			MilliCPU: int64(c.Processors*milliPerProcessor + 0.5), MemoryBytes: size, Accelerators: c.Accelerators,
		},
		ExpectedRunTime: c.ExpectedRunTime, NonIdempotent: c.NonIdempotent, Zones: c.Zone, SpreadGroup: c.SpreadGroup,
	}
	if c.Kind == "watch" {
		spec.Kind = task.KindWatch
	}
	switch c.Priority {
	case "low":
		spec.Priority = task.PriorityLow
	case "urgent":
		spec.Priority = task.PriorityUrgent
	}
	if c.PayloadFile != "" {
		spec.Payload, err = os.ReadFile(c.PayloadFile)
	}
	if err != nil {
		return nil, &exitError{code: exitUsage, cause: err}
	}
	return spec, nil
}
