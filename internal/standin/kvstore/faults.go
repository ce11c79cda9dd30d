package kvstore

import "time"

// Faults are the fault settings of one Faulty store. The zero value injects no faults.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable, without effect, and closes the watches.
	Down bool `json:"down"`
	// DelayMillis is the delay before each call takes effect. A write whose context ends during the
	// delay still takes effect at the end of it.
	DelayMillis int64 `json:"delay_ms"`
	// AnswerDelayMillis is the delay between the effect of a write and its response.
	AnswerDelayMillis int64 `json:"answer_delay_ms"`
	// LoseAnswers is the number of upcoming writes that take effect but return
	// store.ErrOutcomeUnknown.
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswerPercent is the probability, in percent, that a write takes effect but returns
	// store.ErrOutcomeUnknown.
	LoseAnswerPercent int `json:"lose_answer_percent"`
	// LateWrites is the number of upcoming writes that return store.ErrOutcomeUnknown at once and
	// take effect LateWriteMillis later.
	LateWrites      int   `json:"late_writes"`
	LateWriteMillis int64 `json:"late_write_ms"`
	// EndWatches closes each watch at its next event.
	EndWatches bool `json:"end_watches"`
	// MissEventPercent is the probability, in percent, that a watch drops an event.
	MissEventPercent int `json:"miss_event_percent"`
	// RepeatEventPercent is the probability, in percent, that a watch delivers an event twice.
	RepeatEventPercent int `json:"repeat_event_percent"`
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

func (f Faults) answerDelay() time.Duration {
	return time.Duration(f.AnswerDelayMillis) * time.Millisecond
}

func (f Faults) lateWriteDelay() time.Duration {
	return time.Duration(f.LateWriteMillis) * time.Millisecond
}

// Counters holds the number of calls per method since the start or the last reset. Commit counts as
// CompareAndSwap, ListAt as List, and Changes as Watch.
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
