package fleet

import "clementineflow/internal/lease"

// silenceWindow is how long an entry must not have acknowledged a worker before it denies that worker.
const silenceWindow = lease.SilenceTerm

// bootKey identifies one boot of a worker.
type bootKey struct{ worker, bootID string }
