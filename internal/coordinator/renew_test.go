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

// mutedStore does not answer the first renewals of a lease.
type mutedStore struct {
	store.Service
	muted int
}

// RenewLease implements store.Store.
func (s *mutedStore) RenewLease(ctx context.Context, _ store.LeaseID) error {
	if s.muted > 0 {
		s.muted--
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return nil
}

// TestTermOutlastsALostRenewal guards against a coordinator that stops for a while, or loses its lease, because
// one renewal got no answer.
func TestTermOutlastsALostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		config := Config{Store: &mutedStore{muted: 1}, Now: now, Logger: log.New(io.Discard)}
		term := newTerm(config, 1, 1, leaseTTL-leaseSafety)
		ctx, cancel := context.WithCancelCause(t.Context())
		done := make(chan struct{})
		go func() { term.renew(ctx, cancel); close(done) }()
		for now() < 3*leaseTTL {
			is.True(term.valid())
			time.Sleep(10 * time.Millisecond)
		}
		cancel(context.Canceled)
		<-done
	})
}
