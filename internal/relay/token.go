package relay

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

// tokenKey holds the secret that the entries share. The first entry of a deployment writes it, and it stays.
const tokenKey = "link-token"

// loadToken makes the shared secret known. It retries until it succeeds or the context ends.
func (r *Relay) loadToken(ctx context.Context) {
	if r.config.Token == nil {
		return
	}
	for ctx.Err() == nil {
		secret, err := r.readToken(ctx)
		if err == nil {
			r.config.Token.Set(secret)
			return
		}
		r.config.Logger.Warn("shared secret of the entries not read", "error", err)
		wait.Sleep(ctx, retryInterval)
	}
}

// readToken reads the secret on the entry's own path. Without one in the store it writes a new one.
func (r *Relay) readToken(ctx context.Context) (string, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := r.direct.Get(call, tokenKey)
	if !errors.Is(err, store.ErrNotFound) {
		return string(item.Value), err
	}
	secret := uuid.NewString()
	_, err = r.direct.CompareAndSwap(call, tokenKey, 0, []byte(secret), 0)
	// After any error, also a conflict with another entry, the key is read again.
	return secret, err
}
