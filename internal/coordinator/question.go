package coordinator

import (
	"context"

	"github.com/pkg/errors"
)

// ask puts a question to the loop.
func (t *term) ask(ctx context.Context, q question) (answer, error) {
	q.answer = make(chan answer, 1)
	select {
	case t.events <- event{ask: &q}:
	case <-ctx.Done():
		return answer{}, errors.Wrap(ErrNotCoordinator, "busy")
	}
	select {
	case reply := <-q.answer:
		return reply, nil
	case <-ctx.Done():
		return answer{}, errors.Wrap(ErrNotCoordinator, "no answer")
	}
}

// answer answers a question. A coordinator that may have been replaced says nothing.
func (t *term) answer(q *question) {
	if !t.valid() {
		q.answer <- answer{}
		return
	}
	if q.job == "" {
		q.answer <- answer{known: true, waiting: t.planner.Waiting(q.queue)}
		return
	}
	state, known := t.planner.State(q.job)
	q.answer <- answer{known: known, state: state}
}
