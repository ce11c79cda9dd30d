package wire

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request carries a caller's request from an entry to an agent.
type Request struct {
	ID string `cbor:"1,keyasint"`
	// Attempt grows each time the entry sends the request after a certain "not run".
	Attempt uint32   `cbor:"2,keyasint"`
	Service string   `cbor:"3,keyasint"`
	Method  string   `cbor:"4,keyasint"`
	Path    string   `cbor:"5,keyasint"`
	Headers []Header `cbor:"6,keyasint,omitempty"`
	Body    []byte   `cbor:"7,keyasint,omitempty"`
	// RemainingMillis is the time left until the deadline when the message was sent.
	RemainingMillis int64 `cbor:"8,keyasint"`
	Idempotent      bool  `cbor:"9,keyasint"`
}

// Kind implements Message.
func (*Request) Kind() Kind { return KindRequest }

// Outcome says what became of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeAnswered: the target ran the request and this is its whole answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the request did not run and, with this attempt number, never will.
	OutcomeNotRun
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
	// OutcomeRunning: the request is in progress (in a QueryReply only).
	OutcomeRunning
)

// NotRunReason says why a request was not run.
type NotRunReason uint8

// Reasons for "not run".
const (
	NotRunNone NotRunReason = iota
	// NotRunBusy: no free slot or connection.
	NotRunBusy
	// NotRunNoTarget: the worker has no live target for the service.
	NotRunNoTarget
	// NotRunLeaving: the target or the agent is leaving.
	NotRunLeaving
	// NotRunDeadline: the deadline had passed.
	NotRunDeadline
	// NotRunConnect: no connection to the target could be opened.
	NotRunConnect
	// NotRunNeverSeen: the agent never received the request and now refuses it.
	NotRunNeverSeen
	// NotRunZone: the worker's availability zone is out of service.
	NotRunZone
	// NotRunCancelled: the caller went away before the request started.
	NotRunCancelled
	// NotRunInvalid: the request is malformed or too large.
	NotRunInvalid
)

// RequestReply answers a Request.
type RequestReply struct {
	ID      string       `cbor:"1,keyasint"`
	Attempt uint32       `cbor:"2,keyasint"`
	Outcome Outcome      `cbor:"3,keyasint"`
	Reason  NotRunReason `cbor:"4,keyasint,omitempty"`
	// Status, Headers and Body are the target's answer if Outcome is OutcomeAnswered.
	Status  int      `cbor:"5,keyasint,omitempty"`
	Headers []Header `cbor:"6,keyasint,omitempty"`
	Body    []byte   `cbor:"7,keyasint,omitempty"`
	// ServiceMicros is the time the target took, in microseconds.
	ServiceMicros int64 `cbor:"8,keyasint,omitempty"`
}

// Kind implements Message.
func (*RequestReply) Kind() Kind { return KindRequestReply }

// RequestKey names one attempt of a request.
type RequestKey struct {
	ID      string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	// RemainingMillis is the time left until the deadline, so that a refusal outlives it.
	RemainingMillis int64 `cbor:"3,keyasint"`
}

// Query asks an agent for the outcome of requests sent over an earlier link.
type Query struct {
	Keys []RequestKey `cbor:"1,keyasint"`
	// Incarnation is the incarnation that received the requests; another one cannot answer for it.
	Incarnation string `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Query) Kind() Kind { return KindQuery }

// QueryReply answers a Query with one reply per key.
type QueryReply struct {
	Replies []RequestReply `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*QueryReply) Kind() Kind { return KindQueryReply }

// Cancel tells an agent that the caller no longer waits for a request.
type Cancel struct {
	ID      string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }
