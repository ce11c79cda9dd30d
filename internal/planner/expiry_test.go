package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCancelWithoutAJobIsRemoved guards against cancellations of jobs that were never stored and that stay in the store for
// good, and against one that is removed before a late write of its job can have taken effect.
func TestCancelWithoutAJobIsRemoved(t *testing.T) {
	is := is.New(t)
	p := New(testTiming, 0)
	p.Cancel("a")
	p.Advance(testTiming.StatusPeriod)
	p.ExpireJobs(0)
	is.True(p.NextCommit(10, 0, false).Empty())
	p.Advance(testTiming.StatusPeriod + time.Second)
	p.ExpireJobs(0)
	p.ExpireJobs(0)
	first := p.NextCommit(10, 0, false)
	is.Equal(first.RemoveCancels, []string{"a"})
	p.HandleCommitFailed(first, nil)
	second := p.NextCommit(10, 0, false)
	is.Equal(second.RemoveCancels, []string{"a"})
	p.HandleCommitted(second, 1)
	is.Equal(len(p.pendingCancels), 0)
}

// TestRemovedCancelsFitInACommit guards against a commit that the store refuses because it removes too many cancellations.
func TestRemovedCancelsFitInACommit(t *testing.T) {
	is := is.New(t)
	p := New(testTiming, 0)
	const cancels, room = 25, 10
	for i := range cancels {
		p.Cancel(fmt.Sprint(i))
	}
	p.Advance(testTiming.StatusPeriod + time.Second)
	p.ExpireJobs(0)
	removed := 0
	for commit := p.NextCommit(room, 0, false); !commit.Empty(); commit = p.NextCommit(room, 0, false) {
		is.True(len(commit.RemoveCancels) <= room)
		removed += len(commit.RemoveCancels)
		p.HandleCommitted(commit, 1)
	}
	is.Equal(removed, cancels)
}
