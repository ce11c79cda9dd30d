package shard

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// proposal is one change that waits for a commit.
type proposal struct {
	mutate func(*Document) error
	// taken is set when a commit has picked the proposal up; guarded by the shard's mutex.
	taken bool
	done  chan error
}

func newProposal(mutate func(*Document) error) *proposal {
	return &proposal{mutate: mutate, done: make(chan error, 1)}
}

// batch is one group commit: the document that results from its accepted proposals.
type batch struct {
	document *Document
	data     []byte
	accepted []*proposal
	// uncertain is set once a write of the batch may have taken effect.
	uncertain bool
}

// answer tells every accepted proposal the outcome.
func (b *batch) answer(err error) {
	for _, accepted := range b.accepted {
		accepted.done <- err
	}
}

// prepare applies the proposals to a copy of base and answers those that are refused. It returns nil
// if none is accepted.
func prepare(base *Document, proposals []*proposal, commitID string, now time.Time) *batch {
	applied := apply(base, proposals, now)
	data, err := applied.encode(base, commitID)
	if errors.Is(err, ErrFull) {
		// Keeps the longest run of proposals that fits; the next one is too large for the shard.
		fitting := sort.Search(len(proposals), func(n int) bool {
			_, err := apply(base, proposals[:n+1], now).encode(base, commitID)
			return errors.Is(err, ErrFull)
		})
		applied = apply(base, proposals[:fitting], now)
		data, err = applied.encode(base, commitID)
		refuseRest(proposals[fitting:])
	}
	applied.answerRefused()
	next := &batch{document: applied.document, data: data, accepted: applied.accepted}
	if err != nil {
		next.answer(err)
		return nil
	}
	if len(next.accepted) == 0 {
		return nil
	}
	return next
}

// refuseRest answers the proposals from the first one that does not fit.
func refuseRest(rest []*proposal) {
	for i, refused := range rest {
		if i == 0 {
			refused.done <- ErrFull
			continue
		}
		refused.done <- errors.WithMessage(ErrUnavailable, "the commit before was too large")
	}
}

// application is the result of applying proposals to a document.
type application struct {
	document *Document
	accepted []*proposal
	refused  []refusal
	limit    submissionLimit
}

// refusal is a proposal that is not part of the commit, with the reason.
type refusal struct {
	proposal *proposal
	err      error
}

// apply applies the proposals one after the other to a copy of base.
func apply(base *Document, proposals []*proposal, now time.Time) *application {
	a := &application{}
	a.restart(base, now)
	a.limit = newSubmissionLimit(a.document)
	for _, next := range proposals {
		before := len(a.document.Tasks)
		err := next.mutate(a.document)
		if err == nil && len(a.document.Tasks) > before && a.limit.exceeded(a.document) {
			err = ErrFull
		}
		if err != nil {
			a.refused = append(a.refused, refusal{next, err})
			a.replay(base, now)
			continue
		}
		a.accepted = append(a.accepted, next)
	}
	return a
}

func (a *application) restart(base *Document, now time.Time) {
	a.document = base.Clone()
	dropFinished(a.document, now)
}

// replay undoes a refused proposal, which may have changed the document before its error, by
// applying the accepted ones to a fresh copy again.
func (a *application) replay(base *Document, now time.Time) {
	a.restart(base, now)
	a.accepted = slices.DeleteFunc(a.accepted, func(accepted *proposal) bool {
		err := accepted.mutate(a.document)
		if err != nil {
			a.refused = append(a.refused, refusal{accepted, err})
		}
		return err != nil
	})
}

// encode returns the value to write, or ErrFull if it is above the limit of the store. Proposals
// change tasks only; the other fields are those of base.
func (a *application) encode(base *Document, commitID string) ([]byte, error) {
	tasks := a.document.Tasks
	*a.document = *base
	a.document.Tasks = tasks
	a.document.CommitID = commitID
	data, err := wire.Marshal(a.document)
	if err == nil && (len(data) > store.MaxValueBytes || len(tasks) > maxTasks) {
		return nil, ErrFull
	}
	return data, err
}

func (a *application) answerRefused() {
	for _, refused := range a.refused {
		refused.proposal.done <- refused.err
	}
}

// submissionLimit decides whether a document has room for one more task. The exact size needs an
// encoding, which is made only when an upper bound of the growth reaches the limit.
type submissionLimit struct {
	encoded   int
	estimated int
	full      bool
}

func newSubmissionLimit(start *Document) submissionLimit {
	estimated := estimate(start)
	if estimated < submissionBytes/2 {
		return submissionLimit{encoded: estimated, estimated: estimated}
	}
	data, err := wire.Marshal(start)
	if err != nil {
		return submissionLimit{full: true}
	}
	return submissionLimit{encoded: len(data), estimated: estimated}
}

// exceeded reports whether the document is above the limit, and stays true after the first time.
func (l *submissionLimit) exceeded(document *Document) bool {
	if l.full || len(document.Tasks) > maxTasks {
		l.full = true
		return true
	}
	if l.encoded+estimate(document)-l.estimated <= submissionBytes {
		return false
	}
	data, err := wire.Marshal(document)
	l.full = err != nil || len(data) > submissionBytes
	return l.full
}

// recordOverhead is an upper estimate of the encoded size of a record without its variable fields.
const recordOverhead = 400

// estimate returns a rough upper bound of the encoded size of the document, in bytes.
func estimate(document *Document) int {
	size := 0
	for id, record := range document.Tasks {
		size += recordOverhead + 2*len(id) + recordBytes(record)
	}
	return size
}

func recordBytes(record *task.Record) int {
	spec := &record.Spec
	size := len(spec.Name) + len(spec.Team) + len(spec.Class) + len(spec.SpreadGroup) + len(spec.Payload) +
		len(spec.Service) + len(record.Worker) + len(record.Session.BootID) + len(record.Checkpoint) +
		len(record.RequestID) + len(record.Result) + len(record.Reason)
	for _, zone := range spec.Zones {
		size += len(zone) + 4
	}
	for _, failure := range record.Failures {
		size += len(failure.Worker) + len(failure.Reason) + 64
	}
	return size
}

// dropFinished removes the tasks that ended more than FinishedRetention ago, oldest first. Tasks that
// wait for an operator's decision (unknown, quarantined) stay.
func dropFinished(document *Document, now time.Time) {
	var ended []*task.Record
	for _, record := range document.Tasks {
		if hasEnded(record) && now.Sub(record.UpdatedAt) > FinishedRetention {
			ended = append(ended, record)
		}
	}
	slices.SortFunc(ended, func(a, b *task.Record) int {
		if order := a.UpdatedAt.Compare(b.UpdatedAt); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, record := range ended {
		delete(document.Tasks, record.ID)
	}
}

func hasEnded(record *task.Record) bool {
	switch record.State {
	case task.StateFinished, task.StateFailed, task.StateCancelled:
		return true
	default:
		return false
	}
}
