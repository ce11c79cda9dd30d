package jobworker

// Runs returns the number of the active run of each task on the worker.
func (w *Worker) Runs() map[string]uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string]uint32{}
	for task, running := range w.runs {
		runs[task] = running.run
	}
	return runs
}

// UnconfirmedEnds returns the number of listed ends that are not confirmed.
func (w *Worker) UnconfirmedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}
