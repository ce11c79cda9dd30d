package worker

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxSlowdown is the upper bound of the interference coefficient. A neighbour with this coefficient
// that uses the CPU of the whole worker adds 3.0 to the slowdown factor of the service.
const maxSlowdown = 3.0

// interferenceCoefficient returns how much a neighbour of the class slows the service down, from 0 to
// maxSlowdown. It is derived from a hash, so it is constant for each pair of service and class. It is
// not exposed outside the stand-in.
func interferenceCoefficient(service, class string) float64 {
	hash := xxhash.Sum64String(service + "\x00" + class)
	return maxSlowdown * float64(hash) / float64(math.MaxUint64)
}

// slowdown returns the factor by which the neighbours increase the service time; at least 1.
// The share of a neighbour is its CPU use divided by the capacity of the worker.
func slowdown(service string, neighbours []Neighbour, capacityMilliCPU int64) float64 {
	factor := 1.0
	for _, neighbour := range neighbours {
		share := float64(neighbour.MilliCPU) / float64(max(capacityMilliCPU, 1))
		factor += interferenceCoefficient(service, neighbour.Class) * share
	}
	return factor
}
