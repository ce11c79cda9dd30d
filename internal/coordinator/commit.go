package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
)

// commitResult is the outcome of a commit.
type commitResult struct {
	commit   *planner.Commit
	snapshot operatorconfig.Snapshot
	sent     time.Time
	took     time.Duration
	revision store.Revision
	err      error
}

// maxCommits bounds the commits in flight. A single commit at a time can't keep up when the store is slow or
// thousands of tasks start and end each second.
const maxCommits = 4

// startCommits starts commits of the planner's changed records, up to maxCommits in flight. Commits in flight
// cover different jobs and have the same guard conditions, so the store may apply them in any order.
func (t *term) startCommits(ctx context.Context) {
	for t.commitsInFlight < maxCommits && t.startCommit(ctx) {
	}
}

// startCommit starts one commit and reports whether there was anything to write.
// It starts none while a retry is pending, before the first configuration, or when the term may have ended.
func (t *term) startCommit(ctx context.Context) bool {
	if t.commitRetry != nil || t.applied.Config == nil || !t.valid() {
		return false
	}
	guards := append(t.config.View.Conditions(t.applied, true), store.Condition{Key: leaderKey, Revision: store.Revision(t.number)})
	next := t.planner.NextCommit(store.MaxTransactionEntries-len(guards), time.Now().UnixMilli(), t.commitsInFlight > 0)
	if next.Empty() {
		return false
	}
	t.commitsInFlight++
	transaction := buildTransaction(guards, next)
	snapshot := t.applied
	t.group.Go(func() {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		revision, err := t.config.Store.Commit(call, transaction)
		t.post(event{commit: &commitResult{
			commit: next, snapshot: snapshot, sent: sent, took: time.Since(sent), revision: revision, err: err,
		}})
	})
	return true
}

// buildTransaction returns the transaction that writes and removes the commit's records. Each write also
// requires the record's expected revision.
func buildTransaction(guards []store.Condition, next *planner.Commit) store.Transaction {
	transaction := store.Transaction{Conditions: guards}
	for _, record := range next.Records {
		key := ProgressKey(record.Job)
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: key, Revision: record.Revision})
		transaction.Writes = append(transaction.Writes, store.Write{Key: key, Value: record.Value})
	}
	for _, id := range next.Remove {
		transaction.Deletes = append(transaction.Deletes, JobKey(id), CancelKey(id), ProgressKey(id))
	}
	for _, id := range next.RemoveCancels {
		transaction.Deletes = append(transaction.Deletes, CancelKey(id))
	}
	return transaction
}

// delayCommit delays the next commit after a failed one, with exponential backoff. Commits that fail while a
// retry is already pending don't increase the delay.
func (t *term) delayCommit() {
	if t.commitRetry != nil {
		return
	}
	t.commitRetryDelay = min(max(2*t.commitRetryDelay, firstCommitDelay), maxCommitDelay)
	t.commitRetry = time.After(t.commitRetryDelay)
}

// handleCommit passes the outcome of a commit to the planner and schedules a retry after a failure.
func (t *term) handleCommit(result *commitResult) {
	t.commitsInFlight--
	commitSeconds.Update(result.took.Seconds())
	if result.err == nil {
		t.commitRetryDelay = 0
		t.planner.HandleCommitted(result.commit, result.revision)
		return
	}
	commitFailures.Inc()
	t.delayCommit()
	unknown := func(string) (store.Revision, bool) { return 0, false }
	var failed *store.ConditionError
	if !errors.As(result.err, &failed) {
		t.config.Logger.Warn("commit not confirmed",
			"records", len(result.commit.Records), "took_ms", result.took.Milliseconds(), "error", result.err)
		t.planner.HandleCommitFailed(result.commit, unknown)
		return
	}
	if failed.Revision(leaderKey) != store.Revision(t.number) {
		// The renewal loop ends the term. Until then the term counts as expired, so nothing is committed.
		t.config.Logger.Warn("commit refused: another term has started", "leader_revision", failed.Revision(leaderKey))
		t.validUntil.Store(0)
		t.planner.HandleCommitFailed(result.commit, unknown)
		return
	}
	t.config.Logger.Info("commit refused: a condition failed", "records", len(result.commit.Records), "config", result.snapshot.Revision)
	t.config.View.ApplyFailedConditions(result.snapshot, failed, true, result.sent)
	// Only this term writes the records, so an unexpected revision comes from an earlier commit of this
	// term whose reply was lost.
	t.planner.HandleCommitFailed(result.commit, func(id string) (store.Revision, bool) {
		return failed.Revision(ProgressKey(id)), true
	})
}
