package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/standin/caller"
)

// loadCommand sends requests and reports outcomes and latencies.
type loadCommand struct {
	URLs        []string      `arg:"" name:"url" help:"Request URLs; requests are spread over them."`
	Method      string        `default:"GET" help:"HTTP method."`
	Body        string        `help:"Request body."`
	Timeout     time.Duration `default:"2s" help:"Deadline of each request."`
	Idempotent  *bool         `help:"Marks the requests as idempotent or not." negatable:""`
	Priority    string        `help:"Priority of the requests: urgent, normal or low."`
	Team        string        `help:"Team that the requests count against."`
	Rate        float64       `help:"Requests a second in an open loop; without it the loop is closed."`
	Concurrency int           `default:"32" help:"Requests in flight (closed loop) or their limit (open loop)."`
	Duration    time.Duration `default:"5s" help:"How long to send requests."`
	Output      string        `short:"o" enum:"text,json" default:"text" help:"Output format: text or json."`
}

// Run sends the requests.
func (c *loadCommand) Run(ctx context.Context) error {
	sender, err := caller.New(caller.Config{
		URLs: c.URLs, Method: c.Method, Body: []byte(c.Body), Timeout: c.Timeout,
		Idempotent: c.Idempotent, Priority: c.Priority, Team: c.Team,
		Rate: c.Rate, Concurrency: c.Concurrency, Duration: c.Duration,
	})
	if err != nil {
		return err
	}
	report := sender.Run(ctx)
	if c.Output == "json" {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "write report")
	}
	return report.Write(os.Stdout)
}
