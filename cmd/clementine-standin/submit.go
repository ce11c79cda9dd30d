package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/standin/submit"
)

// submitCommand submits many batch tasks at a fixed rate.
type submitCommand struct {
	Servers     []string      `required:"" help:"Operator addresses of entries; submissions are spread over them."`
	Tasks       int           `default:"1000" help:"Number of tasks."`
	Rate        float64       `default:"100" help:"Submissions a second."`
	Concurrency int           `default:"256" help:"Limit of submissions in flight."`
	UrgentEvery int           `default:"0" help:"Makes each n-th task urgent; zero for none."`
	Team        string        `default:"fleet-accounts" help:"Team of the tasks."`
	Class       string        `default:"bend-plan" help:"Interference class of the tasks."`
	Prefix      string        `default:"load" help:"Beginning of the names of the tasks."`
	CPU         float64       `name:"cpu" default:"0.1" help:"Processors of a task, in cores."`
	MemoryMB    int64         `name:"memory-mb" default:"64" help:"Memory of a task in MiB."`
	RunTime     time.Duration `default:"500ms" help:"Run time of a task."`
}

// Run submits the tasks and prints a report as JSON.
func (c *submitCommand) Run(ctx context.Context) error {
	report, err := submit.Run(ctx, submit.Config{
		Servers: c.Servers, Tasks: c.Tasks, Rate: c.Rate, Concurrency: c.Concurrency, UrgentEvery: c.UrgentEvery,
		Team: c.Team, Class: c.Class, Prefix: c.Prefix,
		MilliCPU: int64(c.CPU * 1000), Memory: c.MemoryMB << 20, RunTime: c.RunTime,
	})
	if err != nil {
		return err
	}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "write report")
}
