package worker

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxSlowdown is the slowdown of a service by one neighbour that uses the whole worker and has the
// worst class for it.
const maxSlowdown = 3.0

// hiddenCoefficient returns how much a neighbour of the class slows the service down, from 0 to
// maxSlowdown. It is fixed for each pair of classes and known to nobody but the stand-in.
func hiddenCoefficient(service, class string) float64 {
	hash := xxhash.Sum64String(service + "\x00" + class)
	return maxSlowdown * float64(hash) / float64(math.MaxUint64)
}

// slowdown returns the factor by which the neighbours slow the service down; at least 1.
func slowdown(service string, neighbours []Neighbour, capacityMilliCPU int64) float64 {
	factor := 1.0
	for _, neighbour := range neighbours {
		share := float64(neighbour.MilliCPU) / float64(max(capacityMilliCPU, 1))
		factor += hiddenCoefficient(service, neighbour.Class) * share
	}
	return factor
}
