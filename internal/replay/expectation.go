package replay

// Expectation is a stated outcome. Exactly one field other than Name is set.
type Expectation struct {
	// Name describes the requirement behind the outcome.
	Name         string              `json:"name"`
	Running      *ExpectRunning      `json:"running,omitempty"`
	State        *ExpectState        `json:"state,omitempty"`
	Capacity     *ExpectCapacity     `json:"capacity,omitempty"`
	NoStart      *ExpectNoStart      `json:"no_start,omitempty"`
	Evictions    *ExpectEvictions    `json:"evictions,omitempty"`
	Request      *ExpectRequest      `json:"request,omitempty"`
	Answered     *ExpectAnswered     `json:"answered,omitempty"`
	Finished     *ExpectFinished     `json:"finished,omitempty"`
	UrgentStart  *ExpectUrgentStart  `json:"urgent_start,omitempty"`
	Final        *ExpectFinal        `json:"final,omitempty"`
	Quarantined  *ExpectQuarantined  `json:"quarantined,omitempty"`
	Refused      *ExpectRefused      `json:"refused,omitempty"`
	OnePlaceOnly *ExpectOnePlaceOnly `json:"one_place_only,omitempty"`
}

// Window is a time span; a zero To means the end of the trace.
type Window struct {
	From Duration `json:"from,omitempty"`
	To   Duration `json:"to,omitempty"`
}

// ExpectRunning states: the task is running by the time, in the zone and on the worker if they are named.
type ExpectRunning struct {
	Task   string   `json:"task"`
	Zone   string   `json:"zone,omitempty"`
	Worker string   `json:"worker,omitempty"`
	By     Duration `json:"by"`
}

// ExpectState states: the task has the state at the time.
type ExpectState struct {
	Task  string   `json:"task"`
	State string   `json:"state"`
	By    Duration `json:"by"`
}

// ExpectCapacity states: no worker holds more than its capacity by declared sizes, or by real use.
type ExpectCapacity struct {
	Window
	RealUse bool `json:"real_use,omitempty"`
}

// ExpectNoStart states: no task is assigned to or starts in the zone.
type ExpectNoStart struct {
	Window
	Zone string `json:"zone"`
}

// ExpectEvictions states: at most so many tasks are evicted.
type ExpectEvictions struct {
	Window
	AtMost int `json:"at_most"`
}

// ExpectRequest states: the request has the outcome, and the reason if one is named.
type ExpectRequest struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

// ExpectAnswered states: of the requests that arrive in the window, at least the share is answered within
// the time.
type ExpectAnswered struct {
	Window
	Service         string   `json:"service"`
	Priority        string   `json:"priority,omitempty"`
	AtLeastPermille int      `json:"at_least_permille"`
	Within          Duration `json:"within"`
}

// ExpectFinished states: at least so many tasks finish, of the team if one is named.
type ExpectFinished struct {
	Window
	Team    string `json:"team,omitempty"`
	AtLeast int    `json:"at_least"`
}

// ExpectUrgentStart states: each urgent task that is accepted in the window starts within the time.
type ExpectUrgentStart struct {
	Window
	Within Duration `json:"within"`
}

// ExpectFinal states: every accepted batch task is final at the time.
type ExpectFinal struct {
	By Duration `json:"by"`
}

// ExpectQuarantined states: the worker is in quarantine by the time.
type ExpectQuarantined struct {
	Worker string   `json:"worker"`
	By     Duration `json:"by"`
}

// ExpectRefused states: the specification is refused with a reason that contains the text.
type ExpectRefused struct {
	Task   string `json:"task"`
	Reason string `json:"reason"`
}

// ExpectOnePlaceOnly states: no task runs in two places at once, and none finishes twice.
type ExpectOnePlaceOnly struct{}

// kinds reports for each kind whether it is set.
func (e *Expectation) kinds() []bool {
	return []bool{
		e.Running != nil, e.State != nil, e.Capacity != nil, e.NoStart != nil, e.Evictions != nil,
		e.Request != nil, e.Answered != nil, e.Finished != nil, e.UrgentStart != nil, e.Final != nil,
		e.Quarantined != nil, e.Refused != nil, e.OnePlaceOnly != nil,
	}
}

// lastTime returns the latest time that the outcome names.
func (e *Expectation) lastTime() Duration {
	switch {
	case e.Running != nil:
		return e.Running.By
	case e.State != nil:
		return e.State.By
	case e.Capacity != nil:
		return e.Capacity.To
	case e.NoStart != nil:
		return e.NoStart.To
	case e.Evictions != nil:
		return e.Evictions.To
	case e.Answered != nil:
		return e.Answered.To + e.Answered.Within
	case e.Finished != nil:
		return e.Finished.To
	case e.UrgentStart != nil:
		return e.UrgentStart.To + e.UrgentStart.Within
	case e.Final != nil:
		return e.Final.By
	case e.Quarantined != nil:
		return e.Quarantined.By
	default:
		return 0
	}
}
