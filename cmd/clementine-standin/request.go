package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/standin/caller"
)

// errNotAnswered reports a request that got no answer from a target.
var errNotAnswered = errors.New("the request was not answered")

// requestCommand sends one request and prints the answer.
type requestCommand struct {
	URL        string        `arg:"" help:"Request URL."`
	Method     string        `default:"GET" help:"HTTP method."`
	Body       string        `help:"Request body."`
	Timeout    time.Duration `default:"2s" help:"Deadline of the request."`
	Idempotent *bool         `help:"Marks the request as idempotent or not." negatable:""`
	Priority   string        `help:"Priority of the request: urgent, normal or low."`
	Team       string        `help:"Team that the request counts against."`
}

// Run sends the request.
func (c *requestCommand) Run() error {
	sender, err := caller.New(caller.Config{
		URLs: []string{c.URL}, Method: c.Method, Body: []byte(c.Body), Timeout: c.Timeout,
		Idempotent: c.Idempotent, Priority: c.Priority, Team: c.Team, Concurrency: 1,
	})
	if err != nil {
		return err
	}
	result := sender.Send()
	fmt.Printf("outcome %s, status %d, worker %s, body %s\n",
		result.Outcome, result.Status, result.Worker, result.Body)
	if result.Outcome != caller.OutcomeAnswered {
		return errNotAnswered
	}
	return nil
}
