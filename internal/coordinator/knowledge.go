package coordinator

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/planner"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

// knowledgeInterval is how often a coordinator stores what its planner has learned.
const knowledgeInterval = 4 * time.Second

// loadKnowledge reads what the planner of an earlier term has learned and passes it to the event loop, empty if there
// is none. Decisions do not wait for it.
func (t *term) loadKnowledge(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		item, err := t.config.Store.Get(call, knowledgeKey)
		cancel()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			t.post(ctx, event{knowledge: t.decodeKnowledge(item.Value)})
			return
		}
		wait.Sleep(ctx, tickInterval)
	}
}

// decodeKnowledge decodes a stored record. It returns empty knowledge if there is none or it is malformed.
func (t *term) decodeKnowledge(value []byte) *planner.Knowledge {
	if len(value) == 0 {
		return &planner.Knowledge{}
	}
	knowledge, err := planner.DecodeKnowledge(value)
	if err != nil {
		t.config.Logger.Warn("stored knowledge can't be decoded", "error", err)
		return &planner.Knowledge{}
	}
	return knowledge
}

// restoreKnowledge passes stored knowledge to the planner.
func (t *term) restoreKnowledge(knowledge *planner.Knowledge) {
	t.knowledgeLoaded = true
	t.planner.RestoreKnowledge(knowledge)
}

// storeKnowledge writes what the planner has learned if it has changed. It writes nothing before the knowledge of
// earlier terms is loaded, as it would replace that. The write is conditional on the term. A write that fails is not
// repeated: the next one holds more.
func (t *term) storeKnowledge(ctx context.Context) {
	if !t.knowledgeLoaded || !t.valid() {
		return
	}
	value, err := planner.EncodeKnowledge(t.planner.Knowledge())
	if err != nil || bytes.Equal(value, t.storedKnowledge) {
		return
	}
	t.storedKnowledge = value
	t.group.Go(func() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := t.config.Store.Commit(call, store.Transaction{
			Conditions: []store.Condition{{Key: leaderKey, Revision: store.Revision(t.number)}},
			Writes:     []store.Write{{Key: knowledgeKey, Value: value}},
		})
		if err != nil {
			t.config.Logger.Info("knowledge not stored", "error", err)
		}
	})
}
