package fleet

import "clementineflow/internal/lease"

// silenceWindow is the time without acknowledgement after which an entry denies a worker.
const silenceWindow = lease.SilenceTerm

// bootKey names one boot of a worker.
type bootKey struct{ worker, bootID string }
