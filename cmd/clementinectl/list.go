package main

import (
	"context"
	"strings"

	operatorv1 "clementineflow/api/operator/v1"
)

// listCommand lists tasks.
type listCommand struct {
	pageFlags
	Team   string `help:"Only tasks of this team."`
	State  string `enum:",pending,assigned,running,evicting,cancelling,finished,failed,cancelled,unknown,quarantined" default:"" help:"Only tasks in this state."`
	Worker string `help:"Only tasks on this worker."`
	Kind   string `enum:",batch,watch,service" default:"" help:"Only tasks of this kind."`
}

// Help returns the examples.
func (c *listCommand) Help() string {
	return `Examples:
  clementinectl list --team planning --state pending
  clementinectl list --worker worker-curepipe-2 -o json`
}

// Run prints the tasks of all pages.
func (c *listCommand) Run(ctx context.Context, s *session) error {
	all := &operatorv1.ListTasksResponse{}
	err := c.each(func(size int32, token string) (int, string, error) {
		response, err := call(ctx, s, operatorv1.OperatorServiceClient.ListTasks, &operatorv1.ListTasksRequest{
			PageSize: size, PageToken: token, Team: c.Team, Worker: c.Worker,
			State: operatorv1.TaskState(operatorv1.TaskState_value["TASK_STATE_"+strings.ToUpper(c.State)]),
			Kind:  operatorv1.TaskKind(operatorv1.TaskKind_value["TASK_KIND_"+strings.ToUpper(c.Kind)]),
		})
		all.Tasks = append(all.Tasks, response.GetTasks()...)
		return len(response.GetTasks()), response.GetNextPageToken(), err
	})
	if err != nil {
		return err
	}
	return s.print(all, func() table { return tasksTable(all.GetTasks()...) })
}
