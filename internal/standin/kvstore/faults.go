package kvstore

import "time"

// Faults are the switches of one Faulty store. The zero value means no faults.
type Faults struct {
	// Down refuses every call without effect and ends the watches.
	Down bool `json:"down"`
	// DelayMillis is how long each call waits before it takes effect. A write whose caller gives up
	// while it waits still takes effect at the end of the delay.
	DelayMillis int64 `json:"delay_ms"`
	// AnswerDelayMillis is how long the answer of a write waits after the write took effect.
	AnswerDelayMillis int64 `json:"answer_delay_ms"`
	// LoseAnswers is the number of the next writes that take effect and whose answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswerPercent is the chance that the answer of a write is lost after it took effect.
	LoseAnswerPercent int `json:"lose_answer_percent"`
	// LateWrites is the number of the next writes whose answer is lost and that take effect only
	// LateWriteMillis later.
	LateWrites      int   `json:"late_writes"`
	LateWriteMillis int64 `json:"late_write_ms"`
	// EndWatches ends each watch at its next event.
	EndWatches bool `json:"end_watches"`
	// MissEventPercent is the chance that a watch leaves out an event.
	MissEventPercent int `json:"miss_event_percent"`
	// RepeatEventPercent is the chance that a watch reports an event twice.
	RepeatEventPercent int `json:"repeat_event_percent"`
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

func (f Faults) answerDelay() time.Duration {
	return time.Duration(f.AnswerDelayMillis) * time.Millisecond
}

func (f Faults) lateness() time.Duration { return time.Duration(f.LateWriteMillis) * time.Millisecond }

// Counters holds the number of calls per method since the start or the last reset.
type Counters struct {
	Get            uint64 `json:"get"`
	List           uint64 `json:"list"`
	CompareAndSwap uint64 `json:"compare_and_swap"`
	Delete         uint64 `json:"delete"`
	GrantLease     uint64 `json:"grant_lease"`
	RenewLease     uint64 `json:"renew_lease"`
	RevokeLease    uint64 `json:"revoke_lease"`
	Watch          uint64 `json:"watch"`
}

// Total returns the number of calls of all methods.
func (c Counters) Total() uint64 {
	return c.Get + c.List + c.CompareAndSwap + c.Delete + c.GrantLease + c.RenewLease + c.RevokeLease + c.Watch
}
