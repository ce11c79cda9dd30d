package main

import (
	"context"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
	"clementineflow/internal/operator"
	"clementineflow/internal/resource"
	"clementineflow/internal/settings"
)

// serviceCreateCommand creates a service.
type serviceCreateCommand struct {
	changeFlags
	File             string        `short:"f" placeholder:"FILE" help:"Service as YAML, - for standard input; instead of the flags below."`
	Name             string        `help:"Name of the service."`
	Team             string        `help:"Team that owns the service."`
	Class            string        `help:"Interference class, such as bracket-check."`
	Replicas         int           `help:"Tasks to keep running; 0 if the targets run outside the scheduler."`
	Processors       float64       `help:"Processors of one replica."`
	Memory           string        `default:"0B" help:"Memory of one replica with its unit."`
	Deadline         time.Duration `default:"5s" help:"Default deadline of a request."`
	LatencyObjective time.Duration `help:"p99 latency above which co-located batch work is throttled."`
}

// Help returns the examples.
func (c *serviceCreateCommand) Help() string {
	return `Examples:
  clementinectl service create --name rail-fitting --team fitters --class bracket-check \
    --replicas 9 --processors 4 --memory 8GB --deadline 1s --latency-objective 40ms
  clementinectl service create -f service.yaml`
}

// Run creates the service.
func (c *serviceCreateCommand) Run(ctx context.Context, s *session) error {
	service, err := c.service()
	if err != nil {
		return err
	}
	request := &operatorv1.CreateServiceRequest{RequestId: c.id(), Service: operator.ServiceToMessage(*service)}
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.CreateService, request)
	if err != nil {
		return err
	}
	return s.printChange(response)
}

func (c *serviceCreateCommand) service() (*configuration.Service, error) {
	if c.File != "" {
		if c.Name != "" || c.Team != "" || c.Class != "" {
			return nil, usageError("--file and flags that describe the service exclude each other")
		}
		data, err := settings.ReadFile(c.File)
		if err != nil {
			return nil, err
		}
		return settings.DecodeService(c.File, data)
	}
	size, err := settings.ParseSize(c.Memory)
	if err != nil {
		return nil, usageError("--memory is %q; allowed: a size with its unit, such as 8GB", c.Memory)
	}
	if c.Name == "" || c.Team == "" || c.Class == "" {
		return nil, usageError("--name, --team and --class are required without --file")
	}
	return &configuration.Service{
		Name: c.Name, Team: c.Team, Class: c.Class, Replicas: c.Replicas,
		Size:    resource.Quantity{MilliCPU: int64(c.Processors*milliPerProcessor + 0.5), MemoryBytes: size},
		Timeout: c.Deadline, LatencyObjective: c.LatencyObjective,
	}, nil
}
