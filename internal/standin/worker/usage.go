package worker

import (
	"time"

	"clementineflow/internal/resource"
)

// usageInterval is the minimum time between two usage samples.
const usageInterval = 500 * time.Millisecond

// usageSample is the usage of all tasks at one time.
type usageSample struct {
	at    time.Time
	tasks map[attemptKey]resource.Quantity
}

// usageHistory holds samples until they are at least as old as the lag and can be reported.
type usageHistory struct {
	lag     time.Duration
	samples []usageSample
}

// record takes a sample of all tasks if one is due and drops samples that are no longer needed.
func (h *usageHistory) record(now time.Time, tasks map[attemptKey]*taskAttempt) {
	if len(h.samples) > 0 && now.Sub(h.samples[len(h.samples)-1].at) < usageInterval {
		return
	}
	sample := usageSample{at: now, tasks: map[attemptKey]resource.Quantity{}}
	for key, t := range tasks {
		sample.tasks[key] = t.usage()
	}
	h.samples = append(h.samples, sample)
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.lag {
		h.samples = h.samples[1:]
	}
}

// lookup returns the newest usage of an attempt that is at least as old as the lag, and its age.
func (h *usageHistory) lookup(now time.Time, key attemptKey) (resource.Quantity, time.Duration) {
	if len(h.samples) == 0 || now.Sub(h.samples[0].at) < h.lag {
		return resource.Quantity{}, h.lag
	}
	return h.samples[0].tasks[key], now.Sub(h.samples[0].at)
}
