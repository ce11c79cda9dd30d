package interference

// partsOfWorker is the number of parts into which a worker's processors are divided. Pressures are those of
// one part at work, so that what is expected of an unknown image holds for workers of any size.
const partsOfWorker = 16

// Parts returns processors, in thousandths, as parts of a worker with the capacity.
func Parts(milliCPU, capacity int64) float64 {
	return partsOfWorker * float64(milliCPU) / float64(max(capacity, 1))
}
