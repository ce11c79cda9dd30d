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

// proposal is a change that was passed to Propose and waits for its commit.
type proposal struct {
	mutate func(*Document) error
	// dequeued is set when a commit includes the proposal or it is rejected; guarded by the shard's
	// mutex.
	dequeued bool
	// done receives the result once.
	done chan error
}

func newProposal(mutate func(*Document) error) *proposal {
	return &proposal{mutate: mutate, done: make(chan error, 1)}
}

// batch is one group commit: its accepted proposals and the resulting document.
type batch struct {
	document *Document
	data     []byte
	accepted []*proposal
	// maybeApplied is set once a write of the batch got no response and may have been applied.
	maybeApplied bool
}

// reply completes every accepted proposal with the result err.
func (b *batch) reply(err error) {
	for _, accepted := range b.accepted {
		accepted.done <- err
	}
}

// prepareBatch applies the proposals to a copy of base and completes the rejected ones with their
// errors. It returns nil if no proposal is accepted or the document cannot be encoded.
func prepareBatch(base *Document, proposals []*proposal, commitID string, now time.Time) *batch {
	applied := applyProposals(base, proposals, now)
	data, err := applied.encode(base, commitID)
	if errors.Is(err, ErrFull) {
		// Keeps the longest prefix of the proposals that fits; the next proposal exceeds the limit.
		fitting := sort.Search(len(proposals), func(n int) bool {
			_, err := applyProposals(base, proposals[:n+1], now).encode(base, commitID)
			return errors.Is(err, ErrFull)
		})
		applied = applyProposals(base, proposals[:fitting], now)
		data, err = applied.encode(base, commitID)
		rejectRest(proposals[fitting:])
	}
	applied.replyRejected()
	next := &batch{document: applied.document, data: data, accepted: applied.accepted}
	if err != nil {
		next.reply(err)
		return nil
	}
	if len(next.accepted) == 0 {
		return nil
	}
	return next
}

// rejectRest rejects the proposals that do not fit. The first gets ErrFull, because it exceeds the
// limit; the others get ErrUnavailable.
func rejectRest(rest []*proposal) {
	for i, rejected := range rest {
		if i == 0 {
			rejected.done <- ErrFull
			continue
		}
		rejected.done <- errors.WithMessage(ErrUnavailable, "the commit before was too large")
	}
}

// applyResult is the result of applying proposals to a document.
type applyResult struct {
	document *Document
	accepted []*proposal
	rejected []rejection
	limit    submissionLimit
}

// rejection is a proposal that is not part of the commit, with the error for its caller.
type rejection struct {
	proposal *proposal
	err      error
}

// applyProposals applies the proposals in order to a copy of base.
func applyProposals(base *Document, proposals []*proposal, now time.Time) *applyResult {
	a := &applyResult{}
	a.resetDocument(base, now)
	a.limit = newSubmissionLimit(a.document)
	for _, next := range proposals {
		before := len(a.document.Tasks)
		err := next.mutate(a.document)
		if err == nil && len(a.document.Tasks) > before && a.limit.exceeded(a.document) {
			err = ErrFull
		}
		if err != nil {
			a.rejected = append(a.rejected, rejection{next, err})
			a.replayAccepted(base, now)
			continue
		}
		a.accepted = append(a.accepted, next)
	}
	return a
}

// resetDocument replaces the document by a copy of base without the expired tasks.
func (a *applyResult) resetDocument(base *Document, now time.Time) {
	a.document = base.Clone()
	removeExpired(a.document, now)
}

// replayAccepted applies the accepted proposals again to a new copy of base. This undoes the changes
// that a rejected proposal may have made before it returned its error.
func (a *applyResult) replayAccepted(base *Document, now time.Time) {
	a.resetDocument(base, now)
	a.accepted = slices.DeleteFunc(a.accepted, func(accepted *proposal) bool {
		err := accepted.mutate(a.document)
		if err != nil {
			a.rejected = append(a.rejected, rejection{accepted, err})
		}
		return err != nil
	})
}

// encode returns the value to write, or ErrFull if it exceeds the size limit of the store or has too
// many tasks. Proposals may change tasks only, so the other fields are restored from base.
func (a *applyResult) encode(base *Document, commitID string) ([]byte, error) {
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

func (a *applyResult) replyRejected() {
	for _, rejected := range a.rejected {
		rejected.proposal.done <- rejected.err
	}
}

// submissionLimit checks whether a document exceeds the limit for adding tasks. The document is encoded
// to get its exact size only if an upper bound of the size exceeds the limit.
type submissionLimit struct {
	// encodedBytes is the encoded size of the initial document, or the estimate if that is far below
	// the limit.
	encodedBytes int
	// estimatedBytes is the estimated size of the initial document.
	estimatedBytes int
	full           bool
}

func newSubmissionLimit(start *Document) submissionLimit {
	estimatedBytes := estimateSize(start)
	if estimatedBytes < maxSubmissionBytes/2 {
		return submissionLimit{encodedBytes: estimatedBytes, estimatedBytes: estimatedBytes}
	}
	data, err := wire.Marshal(start)
	if err != nil {
		return submissionLimit{full: true}
	}
	return submissionLimit{encodedBytes: len(data), estimatedBytes: estimatedBytes}
}

// exceeded reports whether the document exceeds the limit. Once it has returned true, it always does.
func (l *submissionLimit) exceeded(document *Document) bool {
	if l.full || len(document.Tasks) > maxTasks {
		l.full = true
		return true
	}
	if l.encodedBytes+estimateSize(document)-l.estimatedBytes <= maxSubmissionBytes {
		return false
	}
	data, err := wire.Marshal(document)
	l.full = err != nil || len(data) > maxSubmissionBytes
	return l.full
}

// recordOverheadBytes is an upper estimate of the encoded size of a record without its variable-length
// fields.
const recordOverheadBytes = 400

// estimateSize returns a rough upper bound of the encoded size of the document, in bytes.
func estimateSize(document *Document) int {
	size := 0
	for id, record := range document.Tasks {
		size += recordOverheadBytes + 2*len(id) + estimateRecordSize(record)
	}
	return size
}

func estimateRecordSize(record *task.Record) int {
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

// removeExpired removes the tasks that ended more than FinishedRetention ago, oldest first. Tasks that
// need an operator's decision (unknown, quarantined) are kept.
func removeExpired(document *Document, now time.Time) {
	var ended []*task.Record
	for _, record := range document.Tasks {
		if isTerminal(record) && now.Sub(record.UpdatedAt) > FinishedRetention {
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

func isTerminal(record *task.Record) bool {
	switch record.State {
	case task.StateFinished, task.StateFailed, task.StateCancelled:
		return true
	default:
		return false
	}
}
