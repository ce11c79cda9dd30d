package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/contain"
	"clementineflow/internal/store"
)

// watchSilence probes the store if the call in progress is not answered in time. It returns when the call's context
// has ended or the probe is answered.
func (g *Gateway) watchSilence(call context.Context) {
	timer := time.NewTimer(g.outage.silence())
	defer timer.Stop()
	select {
	case <-call.Done():
		return
	case <-timer.C:
	}
	sent := time.Now()
	probeErr := g.probe(g.outage.silence())
	if probeErr != nil && !errors.Is(probeErr, store.ErrThrottled) && call.Err() == nil {
		g.outage.recordSilence(sent, time.Now())
		g.config.Logger.Warn("the store does not answer; refusing submissions", "error", probeErr)
	}
}

// probe reads the configuration key from the store. An answer ends a known outage, also if there is no such key.
func (g *Gateway) probe(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sent := time.Now()
	_, err := g.config.Store.Get(ctx, g.config.View.Conditions(g.config.View.Snapshot(), false)[0].Key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	answeredAt := time.Now()
	g.outage.recordSuccess(answeredAt.Sub(sent), answeredAt)
	return nil
}

// Reasons to refuse a submission without a write.
var (
	errStoreAway    = errors.New("gateway: the store is away")
	errDeadlineOver = errors.New("gateway: the caller's deadline ended before the store answered a read")
)

// checkStore returns an error if a submission must be refused. While the store is suspect, or was known to be away and has not
// been probed since, it is read first: no write is sent before an answer, and the first caller after an outage is served.
func (g *Gateway) checkStore(ctx context.Context) error {
	startedAt, outageStarted := time.Now(), g.outage.nextStart()
	if g.outage.isStale(startedAt) || g.config.Monitor.suspicion.isSuspect() && !g.outage.isKnown() {
		err := g.confirmStore(ctx, outageStarted)
		if ctx.Err() != nil {
			return errDeadlineOver
		}
		if err != nil {
			g.outage.recordSilence(startedAt, time.Now())
		}
	}
	if g.outage.isKnown() {
		return errStoreAway
	}
	return nil
}

// refuseInOutage refuses a submission without a write, and makes sure that the store is probed meanwhile.
func (g *Gateway) refuseInOutage(id string, err error) Reply {
	if g.outage.requestProbing(time.Now()) {
		g.goBackground("probe of the store", g.probeUntilBack)
	}
	return g.refuseUnwritten(id, err)
}

// goBackground runs a background task that ends by itself. A panic is logged and does not end the process.
func (g *Gateway) goBackground(what string, f func()) {
	g.goroutines.Go(func() { contain.Call(g.config.Logger, what, f) })
}

// probeUntilBack probes the store until the outage is over or no submission needs it any more.
func (g *Gateway) probeUntilBack() {
	for !g.outage.endProbing(time.Now()) {
		if g.probe(callTimeout) == nil {
			g.config.Logger.Info("the store answers again; accepting submissions")
			continue
		}
		g.outage.confirm(time.Now())
		time.Sleep(probeInterval)
	}
}
