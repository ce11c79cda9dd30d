package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// maxReported bounds the reads after a wait that timed out.
const maxReported = 20

// zoneOutCommand takes a zone out of service.
type zoneOutCommand struct {
	changeFlags
	waitFlags
	Name   string `arg:"" help:"Name of the zone."`
	Reason string `required:"" help:"Why it leaves; shown by zone list."`
}

// Help returns the examples.
func (c *zoneOutCommand) Help() string {
	return `No task starts in the zone once the revision is in force, within 5 s. Its tasks move elsewhere.
With --wait the command ends when the revision is in force everywhere and nothing runs in the zone.

Example:
  clementinectl zone out curepipe --reason 'power work' --wait --wait-timeout 20m`
}

// Run takes the zone out of service.
func (c *zoneOutCommand) Run(ctx context.Context, s *session) error {
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.SetZoneService,
		&operatorv1.SetZoneServiceRequest{RequestId: c.id(), Name: c.Name, OutOfService: true, Reason: c.Reason})
	if err != nil {
		return err
	}
	if err := s.printChange(response); err != nil || !c.Wait {
		return err
	}
	err = s.wait(ctx, c.waitFlags, response.GetRevision(), s.inForce(response.GetRevision()), s.zoneEmpty(c.Name))
	if err != nil && exitCode(err) == exitWaitTimedOut {
		s.reportRemaining(ctx, c.Name)
	}
	return err
}

// reportRemaining prints why tasks are still in the zone, as far as entries can tell.
func (s *session) reportRemaining(ctx context.Context, zone string) {
	all, err := s.workers(ctx, pageFlags{}, zone)
	if err != nil {
		s.progress("the tasks in %s are not known: %s", zone, message(err))
		return
	}
	reported := 0
	for _, worker := range all.GetWorkers() {
		for _, id := range worker.GetTasks() {
			if reported++; reported > maxReported {
				s.progress("more tasks: clementinectl list --worker %s", worker.GetName())
				return
			}
			s.reportTask(ctx, worker.GetName(), id)
		}
	}
}

func (s *session) reportTask(ctx context.Context, worker, id string) {
	found, err := call(ctx, s, operatorv1.OperatorServiceClient.GetTask, &operatorv1.GetTaskRequest{Id: id})
	if err != nil {
		s.progress("task %s on %s: %s", id, worker, message(err))
		return
	}
	s.progress("task %s on %s: %s: %s", id, worker, stateName(found.GetState()), dash(found.GetReason()))
}
