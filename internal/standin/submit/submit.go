// Package submit is a stand-in for operators and teams that submit many tasks at a fixed rate.
package submit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/fleet"
)

// callTimeout is the timeout of one submission.
const callTimeout = 10 * time.Second

// ErrConfig reports a configuration without servers or without a positive number of tasks, rate or
// concurrency.
var ErrConfig = errors.New("submit: invalid configuration")

// Config describes the tasks to submit and the rate of their submission.
type Config struct {
	// Servers are the operator addresses of entries; submissions are spread over them in turn.
	Servers []string
	Tasks   int
	// Rate is the number of submissions per second.
	Rate float64
	// Concurrency is the maximum number of submissions in flight.
	Concurrency int
	// UrgentEvery gives priority urgent to each task whose index is a multiple of it; zero gives it to none.
	UrgentEvery int
	Team, Class string
	// Prefix is the prefix of the task names; a hyphen and the task's index follow it.
	Prefix           string
	MilliCPU, Memory int64
	RunTime          time.Duration
}

// Report summarizes the submissions. PerSecond is the mean rate of successful submissions.
type Report struct {
	Submitted int64   `json:"submitted"`
	Failed    int64   `json:"failed"`
	PerSecond float64 `json:"per_second"`
	LastError string  `json:"last_error,omitempty"`
}

// Run submits the tasks and returns when every submission has succeeded or failed. It returns ErrConfig
// if the configuration is invalid.
func Run(ctx context.Context, config Config) (Report, error) {
	if len(config.Servers) == 0 || config.Tasks < 1 || config.Rate <= 0 || config.Concurrency < 1 {
		return Report{}, errors.Wrap(ErrConfig, "servers, tasks, rate and concurrency are required")
	}
	clients := make([]operatorv1.OperatorServiceClient, len(config.Servers))
	for index, address := range config.Servers {
		connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return Report{}, errors.Wrap(err, "submit: connect")
		}
		defer func() { _ = connection.Close() }()
		clients[index] = operatorv1.NewOperatorServiceClient(connection)
	}
	return config.submitAll(ctx, clients), nil
}

// submitAll submits each task when it is due, or as soon as the limit of submissions in flight allows.
func (c *Config) submitAll(ctx context.Context, clients []operatorv1.OperatorServiceClient) Report {
	var submitted, failed atomic.Int64
	var lastError atomic.Value
	startedAt := time.Now()
	group := pool.New().WithMaxGoroutines(c.Concurrency)
	for index := range c.Tasks {
		due := startedAt.Add(time.Duration(float64(index) / c.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		group.Go(func() {
			if err := c.submitTask(ctx, clients[index%len(clients)], index, due); err != nil {
				failed.Add(1)
				lastError.Store(err.Error())
				return
			}
			submitted.Add(1)
		})
	}
	group.Wait()
	report := Report{Submitted: submitted.Load(), Failed: failed.Load()}
	report.PerSecond = float64(report.Submitted) / time.Since(startedAt).Seconds()
	report.LastError, _ = lastError.Load().(string)
	return report
}

// submitTask submits the task with the given index.
func (c *Config) submitTask(ctx context.Context, client operatorv1.OperatorServiceClient, index int, due time.Time) error {
	request, err := c.buildRequest(index, due)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.SubmitTask(ctx, request)
	return errors.Wrap(err, "submit")
}

// buildRequest returns the request that submits the task with the given index.
func (c *Config) buildRequest(index int, due time.Time) (*operatorv1.SubmitTaskRequest, error) {
	urgent := c.UrgentEvery > 0 && index%c.UrgentEvery == 0
	priority := operatorv1.Priority_PRIORITY_NORMAL
	if urgent {
		priority = operatorv1.Priority_PRIORITY_URGENT
	}
	payload, err := json.Marshal(fleet.Payload{
		RunMillis: c.RunTime.Milliseconds(), SubmittedMillis: due.UnixMilli(), Urgent: urgent,
	})
	if err != nil {
		return nil, errors.Wrap(err, "submit: encode payload")
	}
	name := fmt.Sprintf("%s-%d", c.Prefix, index)
	return &operatorv1.SubmitTaskRequest{
		RequestId: name,
		Spec: &operatorv1.TaskSpec{
			Name: name, Kind: operatorv1.TaskKind_TASK_KIND_BATCH, Team: c.Team, Class: c.Class, Priority: priority,
			Size:            &operatorv1.Quantity{MilliCpu: c.MilliCPU, MemoryBytes: c.Memory},
			ExpectedRunTime: durationpb.New(c.RunTime), Payload: payload,
		},
	}, nil
}
