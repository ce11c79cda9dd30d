package interference

import (
	"math"
	"time"
)

// baseline is the undisturbed speed of a key, such as a task or a service: the best recent speed, which decays
// so that the model follows changes of the work itself.
type baseline struct {
	speed float64
	at    time.Time
}

// baselineHalfLife is the time in which a best speed that is not reached again decays to half.
const baselineHalfLife = 6 * time.Hour

// maxBaselines bounds the memory of the model.
const maxBaselines = 16384

// Slowdown returns how much slower the speed is than the best recent speed of the key, and
// stores the speed if it is the best. The caller chooses the unit of the speed; higher is faster. It returns
// false if the speed is invalid or the first one of the key.
func (m *Model) Slowdown(key string, speed float64, now time.Time) (float64, bool) {
	if speed <= 0 || math.IsNaN(speed) || math.IsInf(speed, 0) {
		return 0, false
	}
	best, ok := m.baselines[key]
	if !ok {
		m.addBaseline(key, speed, now)
		return 0, false
	}
	decayed := best.speed * math.Exp2(-float64(now.Sub(best.at))/float64(baselineHalfLife))
	if speed >= decayed {
		best.speed, best.at = speed, now
		return 1, true
	}
	return best.speed / speed, true
}

func (m *Model) addBaseline(key string, speed float64, now time.Time) {
	if len(m.baselines) >= maxBaselines {
		m.dropOldBaselines(now)
	}
	if len(m.baselines) < maxBaselines {
		m.baselines[key] = &baseline{speed: speed, at: now}
	}
}

// dropOldBaselines removes the baselines that are older than the half-life.
func (m *Model) dropOldBaselines(now time.Time) {
	for key, best := range m.baselines {
		if now.Sub(best.at) > baselineHalfLife {
			delete(m.baselines, key)
		}
	}
}

// RemoveBaseline removes the baseline of a key that will not be reported again.
func (m *Model) RemoveBaseline(key string) { delete(m.baselines, key) }
