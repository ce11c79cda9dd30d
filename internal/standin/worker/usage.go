package worker

import (
	"time"

	"clementineflow/internal/resource"
)

// usageInterval is the time between two measurements of usage.
const usageInterval = 500 * time.Millisecond

// usageSample is one measurement of all tasks.
type usageSample struct {
	at    time.Time
	tasks map[attemptKey]resource.Quantity
}

// usageHistory holds measurements until they are old enough to be reported.
type usageHistory struct {
	lag     time.Duration
	samples []usageSample
}

// record measures all tasks if a measurement is due and drops what is no longer needed.
func (h *usageHistory) record(now time.Time, tasks map[attemptKey]*runningTask) {
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
