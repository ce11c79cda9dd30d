package coordinator

import (
	"context"

	"github.com/pkg/errors"
)

// sendQuery passes a query to the event loop and waits for the reply. It returns ErrNotCoordinator if the
// context ends first.
func (t *term) sendQuery(ctx context.Context, q query) (queryReply, error) {
	q.reply = make(chan queryReply, 1)
	select {
	case t.events <- event{query: &q}:
	case <-ctx.Done():
		return queryReply{}, errors.Wrap(ErrNotCoordinator, "busy")
	}
	select {
	case reply := <-q.reply:
		return reply, nil
	case <-ctx.Done():
		return queryReply{}, errors.Wrap(ErrNotCoordinator, "no answer")
	}
}

// answerQuery replies to a query. If the term may have ended, it replies that nothing is known; the same holds for the
// length of a queue before the stored jobs have been read.
func (t *term) answerQuery(q *query) {
	if !t.valid() {
		q.reply <- queryReply{}
		return
	}
	if q.job == "" {
		if !t.inputListed {
			q.reply <- queryReply{}
			return
		}
		q.reply <- queryReply{known: true, waiting: t.planner.CountUnstartedJobs(q.queue)}
		return
	}
	state, known := t.planner.JobState(q.job)
	q.reply <- queryReply{known: known, state: state}
}
