package experiment

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the hidden slowdown of one class by a neighbour that uses the whole worker.
const (
	noisyLowest, noisyHighest = 2.0, 4.0
	quietHighest              = 0.8
	// batchPart scales the slowdown of batch work, which waits less for each other's caches than a
	// request does; with it a load of 0.7 can be carried.
	batchPart = 0.4
	// shiftShare is the part of each coefficient that is drawn anew at the shift.
	shiftShare = 0.5
)

// hidden is the slowdown between task classes. Only the stand-in workers use it.
type hidden struct {
	seed    uint64
	noisy   string
	service string // class of the latency-critical service
	shiftAt time.Duration
	cache   map[hiddenKey]float64
}

type hiddenKey struct {
	class, neighbour string
	shifted          bool
}

// coefficient returns how much the neighbour slows the class down at the time.
func (h *hidden) coefficient(class, neighbour string, now time.Duration) float64 {
	key := hiddenKey{class, neighbour, now >= h.shiftAt}
	value, ok := h.cache[key]
	if !ok {
		value = h.draw(class, neighbour, 0)
		if key.shifted {
			value = (1-shiftShare)*value + shiftShare*h.draw(class, neighbour, 1)
		}
		if class != h.service {
			value *= batchPart
		}
		h.cache[key] = value
	}
	return value
}

func (h *hidden) draw(class, neighbour string, epoch byte) float64 {
	text := append([]byte(class+"\x00"+neighbour), byte(h.seed), byte(h.seed>>8), epoch)
	part := float64(xxhash.Sum64(text)) / float64(math.MaxUint64)
	if neighbour == h.noisy {
		return noisyLowest + part*(noisyHighest-noisyLowest)
	}
	return part * quietHighest
}
