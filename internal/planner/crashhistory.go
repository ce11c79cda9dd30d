package planner

import (
	"time"

	"clementineflow/internal/wire"
)

// crashHistory is what is known of the crashes of a worker, over all of its incarnations.
type crashHistory struct {
	// inRow counts the crashes within probePeriod of the first starts on an incarnation, since a run was last done.
	inRow int
	// at is when the latest of them was counted, incarnation the one that it ended.
	at          time.Duration
	incarnation int64
}

// add counts a crash once. It says nothing if the age of none of its runs is known.
func (h *crashHistory) add(crash *wire.WorkerCrash, now time.Duration) {
	oldest, known := oldestAge(crash)
	if !known || h.incarnation == crash.Incarnation {
		return
	}
	h.incarnation = crash.Incarnation
	if oldest > probePeriod || now-h.at > crashMemory {
		h.inRow = 0
	}
	if oldest <= probePeriod {
		h.inRow++
		h.at = now
	}
}

// looping reports whether the worker has crashed again and again soon after its starts. It would otherwise be chosen first,
// as the idlest one after each restart.
func (h *crashHistory) looping(now time.Duration) bool {
	return h.inRow >= crashLoopAfter && now-h.at <= crashMemory
}

// oldestAge returns the highest known age of the runs of a crash, or false if none is known.
func oldestAge(crash *wire.WorkerCrash) (oldest time.Duration, known bool) {
	for i := range crash.Runs {
		if age := crash.Runs[i].AgeMillis; age >= 0 {
			oldest, known = max(oldest, time.Duration(age)*time.Millisecond), true
		}
	}
	return oldest, known
}
