package backlog

// Usage is the memory of what a coordinator keeps. The zero value holds nothing. It is not safe for concurrent use.
type Usage struct {
	total  int64
	queues map[string]int64
	// cancellations is that of cancellations without a job.
	cancellations int64
}

// Add adds bytes, which may be negative, to the jobs of a queue.
func (u *Usage) Add(queue string, bytes int64) {
	if u.queues == nil {
		u.queues = map[string]int64{}
	}
	u.total += bytes
	u.queues[queue] += bytes
	if u.queues[queue] == 0 {
		delete(u.queues, queue)
	}
}

// AddCancellations adds a number, which may be negative, of cancellations without a job.
func (u *Usage) AddCancellations(count int) {
	u.cancellations += CancellationBytes * int64(count)
	u.total += CancellationBytes * int64(count)
}

// Total returns the memory of all jobs and cancellations in bytes.
func (u *Usage) Total() int64 { return u.total }
