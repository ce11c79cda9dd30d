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

// maxCommits bounds the commits in flight. One at a time carries too few records when the store is slow or
// thousands of tasks start and end each second.
const maxCommits = 4

// startCommits writes the planner's next records. Commits in flight hold different jobs, and each of them is
// under the same guards, so they may be written in any order.
func (t *term) startCommits(ctx context.Context) {
	for t.commits < maxCommits && t.startCommit(ctx) {
	}
}

// startCommit starts one commit and reports whether there was anything to write.
func (t *term) startCommit(ctx context.Context) bool {
	if t.retry != nil || t.applied.Config == nil || !t.valid() {
		return false
	}
	guards := append(t.config.View.Conditions(t.applied, true), store.Condition{Key: leaderKey, Revision: store.Revision(t.number)})
	next := t.planner.NextCommit(store.MaxTransactionEntries-len(guards), time.Now().UnixMilli(), t.commits > 0)
	if next.Empty() {
		return false
	}
	t.commits++
	transaction := buildTransaction(guards, next)
	snapshot := t.applied
	t.group.Go(func() {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		revision, err := t.config.Store.Commit(call, transaction)
		t.post(ctx, event{commit: &commitResult{
			commit: next, snapshot: snapshot, sent: sent, took: time.Since(sent), revision: revision, err: err,
		}})
	})
	return true
}

// buildTransaction returns the transaction that writes the commit's records under the guards.
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
	return transaction
}

// delayCommit makes the next commit wait after a failed one, for longer with each failure in a row. Commits
// that were in flight together fail together and count once.
func (t *term) delayCommit() {
	if t.retry != nil {
		return
	}
	t.retryDelay = min(max(2*t.retryDelay, firstCommitDelay), maxCommitDelay)
	t.retry = time.After(t.retryDelay)
}

// handleCommit takes in the outcome of a commit.
func (t *term) handleCommit(result *commitResult) {
	t.commits--
	commitSeconds.Update(result.took.Seconds())
	if result.err == nil {
		t.retryDelay = 0
		t.planner.Committed(result.commit, result.revision)
		return
	}
	commitFailures.Inc()
	t.delayCommit()
	unknown := func(string) (store.Revision, bool) { return 0, false }
	var failed *store.ConditionError
	if !errors.As(result.err, &failed) {
		t.config.Logger.Warn("commit not confirmed", "records", len(result.commit.Records), "took_ms", result.took.Milliseconds(), "error", result.err)
		t.planner.Failed(result.commit, unknown)
		return
	}
	if failed.Revision(leaderKey) != store.Revision(t.number) {
		// The renewal ends the term; until then nothing can be committed.
		t.config.Logger.Warn("commit refused: another term has begun", "leader_revision", failed.Revision(leaderKey))
		t.validUntil.Store(0)
		t.planner.Failed(result.commit, unknown)
		return
	}
	t.config.Logger.Info("commit refused by a condition", "records", len(result.commit.Records), "config", result.snapshot.Revision)
	t.config.View.Learn(result.snapshot, failed, true, result.sent)
	// Only this term writes the records, so a revision that is not the expected one stems from an
	// earlier commit whose answer was lost.
	t.planner.Failed(result.commit, func(id string) (store.Revision, bool) {
		return failed.Revision(ProgressKey(id)), true
	})
}
