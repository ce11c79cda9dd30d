package coordinator

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/store"
)

// unansweringStore leaves the first unanswered renewals of a lease without a reply.
type unansweringStore struct {
	store.Service
	unanswered int
}

// RenewLease implements store.Store.
func (s *unansweringStore) RenewLease(ctx context.Context, _ store.LeaseID) error {
	if s.unanswered > 0 {
		s.unanswered--
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return nil
}

// TestTermOutlastsALostRenewal guards against a coordinator that pauses or loses its lease because a single
// renewal got no reply.
func TestTermOutlastsALostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		now := func() time.Duration { return time.Since(startedAt) }
		config := Config{Store: &unansweringStore{unanswered: 1}, Now: now, Logger: log.New(io.Discard)}
		term := newTerm(config, 1, 1, leaseTTL-leaseSafetyMargin)
		ctx, cancel := context.WithCancelCause(t.Context())
		done := make(chan struct{})
		go func() { term.renewLease(ctx, cancel); close(done) }()
		for now() < 3*leaseTTL {
			is.True(term.valid())
			time.Sleep(10 * time.Millisecond)
		}
		cancel(context.Canceled)
		<-done
	})
}
