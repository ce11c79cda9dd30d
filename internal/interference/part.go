package interference

// partsOfWorker is the number of parts into which a worker's processors are divided. A pressure is that of one
// busy part, so that the prior pressure of an unknown image is valid for workers of any size.
const partsOfWorker = 16

// Parts converts processors to parts of a worker with the given capacity, both in thousandths of a core.
func Parts(milliCPU, capacity int64) float64 {
	return partsOfWorker * float64(milliCPU) / float64(max(capacity, 1))
}
