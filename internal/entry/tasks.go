package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/controller"
	"clementineflow/internal/operator"
	"clementineflow/internal/replay"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// retryAfterUnavailable is the retry delay for a call that failed because the store was unreachable or a
// shard had no owner. It equals the TTL of an entry's registration.
const retryAfterUnavailable = 3 * time.Second

// operatorTasks implements operator.Tasks over the controller and translates its errors.
type operatorTasks struct {
	controller *controller.Controller
	recorder   *replay.Recorder
}

// Submit implements operator.Tasks.
func (t operatorTasks) Submit(ctx context.Context, requestID string, spec task.Spec) (task.Record, error) {
	t.recordSubmission(&spec)
	record, err := t.controller.Submit(ctx, requestID, spec)
	return record, translateControllerError(err)
}

// Cancel implements operator.Tasks.
func (t operatorTasks) Cancel(ctx context.Context, requestID, taskID string) (task.Record, error) {
	t.recorder.Record(replay.Line{Cancel: &replay.TaskName{Task: taskID}})
	record, err := t.controller.Cancel(ctx, requestID, taskID)
	return record, translateControllerError(err)
}

// Get implements operator.Tasks.
func (t operatorTasks) Get(ctx context.Context, taskID string) (task.Record, error) {
	record, err := t.controller.Get(ctx, taskID)
	return record, translateControllerError(err)
}

// List implements operator.Tasks.
func (t operatorTasks) List(ctx context.Context, filter operator.Filter, after string, limit int) ([]task.Record, error) {
	records, err := t.controller.List(ctx, controller.Filter(filter), after, limit)
	return records, translateControllerError(err)
}

// Watch implements operator.Tasks.
func (t operatorTasks) Watch(ctx context.Context, taskID string) (<-chan task.Record, error) {
	updates, err := t.controller.Watch(ctx, taskID)
	return updates, translateControllerError(err)
}

// Explain implements operator.Tasks.
func (t operatorTasks) Explain(taskID string) []operator.Decision {
	known := t.controller.Explain(taskID)
	decisions := make([]operator.Decision, 0, len(known))
	for _, decision := range known {
		adapted := operator.Decision{
			At: decision.At, Action: decision.Action, Worker: decision.Worker, Reason: decision.Reason,
		}
		for _, count := range decision.Filtered {
			adapted.Filtered = append(adapted.Filtered, operator.FilterCount{
				Reason: count.Reason.String(), Workers: count.Workers,
			})
		}
		decisions = append(decisions, adapted)
	}
	return decisions
}

// translateControllerError maps an error of the controller to one of package operator; other errors are
// returned unchanged.
func translateControllerError(err error) error {
	if err == nil {
		return nil
	}
	var notOwner controller.NotOwnerError
	if errors.As(err, &notOwner) {
		return &operator.ErrNotOwner{Entry: notOwner.Entry}
	}
	if code, ok := specificationCode(err); ok {
		return operator.Errorf(code, "%s", err.Error())
	}
	for _, mapping := range operatorCodes {
		if errors.Is(err, mapping.err) {
			return &operator.Error{Code: mapping.code, Message: err.Error(), RetryAfter: mapping.retryAfter}
		}
	}
	return err
}

// specificationCode returns the operator code of an error caused by the submitted specification.
func specificationCode(err error) (operator.Code, bool) {
	var invalid *task.InvalidSpecError
	var infeasible *scheduler.InfeasibleError
	var quota controller.QuotaTooSmallError
	switch {
	case errors.As(err, &invalid):
		return operator.CodeInvalidSpecification, true
	case errors.As(err, &infeasible):
		return operator.CodeUnschedulable, true
	case errors.As(err, &quota):
		return operator.CodeQuotaExceeded, true
	default:
		return "", false
	}
}

// operatorCodes maps the controller's sentinel errors to operator codes and retry delays.
var operatorCodes = []struct {
	err        error
	code       operator.Code
	retryAfter time.Duration
}{
	{err: controller.ErrAlreadyExists, code: operator.CodeTaskExists},
	{err: controller.ErrNotFound, code: operator.CodeTaskNotFound},
	{err: controller.ErrAlreadyEnded, code: operator.CodeTaskEnded},
	{err: controller.ErrResourceExhausted, code: operator.CodeShardFull, retryAfter: time.Minute},
	{err: controller.ErrUnavailable, code: operator.CodeUnavailable, retryAfter: retryAfterUnavailable},
	{err: controller.ErrOutcomeUnknown, code: operator.CodeOutcomeUnknown, retryAfter: retryAfterUnavailable},
}
