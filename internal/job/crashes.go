package job

// TaskCrashes counts the workers that crashed under one task.
type TaskCrashes struct {
	_     struct{} `cbor:",toarray"`
	Step  int
	Index int
	// LastRun is the run of the task that was counted last.
	LastRun uint32
	// Total counts the crashes during a run of the task.
	Total uint16
	// Blamed counts those of which the task may be the cause.
	Blamed uint16
}

// within reports whether the job has the task.
func (c *TaskCrashes) within(spec *Spec) bool {
	return c.Step >= 0 && c.Step < len(spec.Steps) && c.Index >= 0 && c.Index < spec.Steps[c.Step].Count
}

// CrashesOf returns the crashes of a task's workers. They are all zero if none is recorded.
func (p *Progress) CrashesOf(step, index int) TaskCrashes {
	for _, crashes := range p.Crashes {
		if crashes.Step == step && crashes.Index == index {
			return crashes
		}
	}
	return TaskCrashes{Step: step, Index: index}
}

// SetCrashes records the crashes of a task's workers.
func (p *Progress) SetCrashes(crashes TaskCrashes) {
	for i := range p.Crashes {
		if p.Crashes[i].Step == crashes.Step && p.Crashes[i].Index == crashes.Index {
			p.Crashes[i] = crashes
			return
		}
	}
	p.Crashes = append(p.Crashes, crashes)
}
