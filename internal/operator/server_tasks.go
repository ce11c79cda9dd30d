package operator

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/task"
)

// SubmitTask validates and commits a task of kind batch or watch.
func (s *Server) SubmitTask(ctx context.Context, request *operatorv1.SubmitTaskRequest) (*operatorv1.Task, error) {
	response, err := s.submitTask(ctx, request)
	s.logChange(ctx, "submit task", request.GetRequestId(), request.GetSpec().GetName(), err)
	return response, s.callError("SubmitTask", err, changeCall)
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
		return forward(ctx, s, err, changeCall,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.Task, error) {
				return client.SubmitTask(ctx, request)
			})
	}
	return taskToMessage(record), nil
}

// CancelTask commits the cancellation of a task.
func (s *Server) CancelTask(ctx context.Context, request *operatorv1.CancelTaskRequest) (*operatorv1.Task, error) {
	response, err := s.cancelTask(ctx, request)
	s.logChange(ctx, "cancel task", request.GetRequestId(), request.GetId(), err)
	return response, s.callError("CancelTask", err, changeCall)
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
		return forward(ctx, s, err, changeCall,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.Task, error) {
				return client.CancelTask(ctx, request)
			})
	}
	return taskToMessage(record), nil
}

// GetTask returns a task, or CodeTaskNotFound.
func (s *Server) GetTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.Task, error) {
	response, err := s.getTask(ctx, request)
	return response, s.callError("GetTask", err, readCall)
}

func (s *Server) getTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.Task, error) {
	if request.GetId() == "" {
		return nil, Errorf(CodeInvalidRequest, "id is required")
	}
	record, err := s.config.Tasks.Get(ctx, request.GetId())
	if err != nil {
		return forward(ctx, s, err, readCall,
			func(ctx context.Context, client operatorv1.OperatorServiceClient) (*operatorv1.Task, error) {
				return client.GetTask(ctx, request)
			})
	}
	return taskToMessage(record), nil
}

// ListTasks returns one page of the tasks that match the filter, ordered by id.
func (s *Server) ListTasks(ctx context.Context, request *operatorv1.ListTasksRequest) (*operatorv1.ListTasksResponse, error) {
	response, err := s.listTasks(ctx, request)
	return response, s.callError("ListTasks", err, readCall)
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
	// Request one item more than the page size to find out whether another page follows.
	records, err := s.config.Tasks.List(ctx, filter, page.after, page.size+1)
	if err != nil {
		return nil, err
	}
	records, next := cutPage(page, records, func(r task.Record) string { return r.ID })
	response := &operatorv1.ListTasksResponse{NextPageToken: next}
	for _, record := range records {
		response.Tasks = append(response.Tasks, taskToMessage(record))
	}
	return response, nil
}

// ExplainTask returns a task with the recent decisions about it. Only the owner of the task's shard
// stores the decisions, so the call is forwarded to the owner.
func (s *Server) ExplainTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.ExplainTaskResponse, error) {
	response, err := s.explainTask(ctx, request)
	return response, s.callError("ExplainTask", err, readCall)
}

func (s *Server) explainTask(ctx context.Context, request *operatorv1.GetTaskRequest) (*operatorv1.ExplainTaskResponse, error) {
	if request.GetId() == "" {
		return nil, Errorf(CodeInvalidRequest, "id is required")
	}
	record, err := s.ownedTask(ctx, request.GetId())
	if err != nil {
		return forward(ctx, s, err, readCall,
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
