package operator

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/task"
)

// SubmitTask commits a batch job or a watch.
func (s *Server) SubmitTask(ctx context.Context, request *operatorv1.SubmitTaskRequest) (*operatorv1.Task, error) {
	response, err := s.submitTask(ctx, request)
	s.logChange(ctx, "submit task", request.GetRequestId(), request.GetSpec().GetName(), err)
	return response, s.result("SubmitTask", err, changes)
}

func (s *Server) submitTask(ctx context.Context, request *operatorv1.SubmitTaskRequest) (*operatorv1.Task, error) {
	if err := validateRequestID(request.GetRequestId()); err != nil {
		return nil, err
	}
	document, err := s.document()
	if err != nil {
		return nil, err
	}
	if err := validateSpec(request.GetSpec(), document); err != nil {
		return nil, err
	}
	record, err := s.config.Tasks.Submit(ctx, request.GetRequestId(), specFromMessage(request.GetSpec()))
	if err != nil {
		return forward(ctx, s, err, changes,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.Task, error) {
				return client.SubmitTask(ctx, request)
			})
	}
	return taskToMessage(record), nil
}

// CancelTask stops a task for good.
func (s *Server) CancelTask(ctx context.Context, request *operatorv1.CancelTaskRequest) (*operatorv1.Task, error) {
	response, err := s.cancelTask(ctx, request)
	s.logChange(ctx, "cancel task", request.GetRequestId(), request.GetId(), err)
	return response, s.result("CancelTask", err, changes)
}

func (s *Server) cancelTask(ctx context.Context, request *operatorv1.CancelTaskRequest) (*operatorv1.Task, error) {
	if err := validateRequestID(request.GetRequestId()); err != nil {
		return nil, err
	}
	if request.GetId() == "" {
		return nil, Errorf(CodeInvalidRequest, "id is required")
	}
	record, err := s.config.Tasks.Cancel(ctx, request.GetRequestId(), request.GetId())
	if err != nil {
		return forward(ctx, s, err, changes,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.Task, error) {
				return client.CancelTask(ctx, request)
			})
	}
	return taskToMessage(record), nil
}

// GetTask returns a task.
func (s *Server) GetTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.Task, error) {
	response, err := s.getTask(ctx, request)
	return response, s.result("GetTask", err, reads)
}

func (s *Server) getTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.Task, error) {
	if request.GetId() == "" {
		return nil, Errorf(CodeInvalidRequest, "id is required")
	}
	record, err := s.config.Tasks.Get(ctx, request.GetId())
	if err != nil {
		return forward(ctx, s, err, reads,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.Task, error) {
				return client.GetTask(ctx, request)
			})
	}
	return taskToMessage(record), nil
}

// ListTasks returns one page of the tasks that match the filter, in the order of their ids.
func (s *Server) ListTasks(ctx context.Context, request *operatorv1.ListTasksRequest) (*operatorv1.ListTasksResponse, error) {
	response, err := s.listTasks(ctx, request)
	return response, s.result("ListTasks", err, reads)
}

func (s *Server) listTasks(ctx context.Context, request *operatorv1.ListTasksRequest) (*operatorv1.ListTasksResponse, error) {
	filter := Filter{
		Team: request.GetTeam(), State: task.State(request.GetState()),
		Worker: request.GetWorker(), Kind: task.Kind(request.GetKind()),
	}
	page, err := newPage(request.GetPageSize(), request.GetPageToken(), "tasks", filter)
	if err != nil {
		return nil, err
	}
	// One more than a page tells whether another page follows.
	records, err := s.config.Tasks.List(ctx, filter, page.after, page.size+1)
	if err != nil {
		return nil, err
	}
	records, next := cut(page, records, func(r task.Record) string { return r.ID })
	response := &operatorv1.ListTasksResponse{NextPageToken: next}
	for _, record := range records {
		response.Tasks = append(response.Tasks, taskToMessage(record))
	}
	return response, nil
}

// ExplainTask returns a task with the recent decisions about it. Only the owner of the task's shard
// has them.
func (s *Server) ExplainTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.ExplainTaskResponse, error) {
	response, err := s.explainTask(ctx, request)
	return response, s.result("ExplainTask", err, reads)
}

func (s *Server) explainTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.ExplainTaskResponse, error) {
	if request.GetId() == "" {
		return nil, Errorf(CodeInvalidRequest, "id is required")
	}
	record, err := s.ownedTask(ctx, request.GetId())
	if err != nil {
		return forward(ctx, s, err, reads,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.ExplainTaskResponse, error) {
				return client.ExplainTask(ctx, request)
			})
	}
	response := &operatorv1.ExplainTaskResponse{Task: taskToMessage(record)}
	for _, decision := range s.config.Tasks.Explain(request.GetId()) {
		response.Decisions = append(response.Decisions, decisionToMessage(decision))
	}
	return response, nil
}

// ownedTask returns a task, or *ErrNotOwner if another entry is known to own it.
func (s *Server) ownedTask(ctx context.Context, id string) (task.Record, error) {
	if owner, ok := s.config.Entries.TaskOwner(id); ok && owner != s.config.Name && !isForwarded(ctx) {
		return task.Record{}, &ErrNotOwner{Entry: owner}
	}
	return s.config.Tasks.Get(ctx, id)
}
