package wire

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request forwards a caller's request from an entry to an agent.
type Request struct {
	ID string `cbor:"1,keyasint"`
	// Attempt increases each time the entry sends the request again, which it does only after a reply that
	// the request has certainly not run.
	Attempt uint32   `cbor:"2,keyasint"`
	Service string   `cbor:"3,keyasint"`
	Method  string   `cbor:"4,keyasint"`
	Path    string   `cbor:"5,keyasint"`
	Headers []Header `cbor:"6,keyasint,omitempty"`
	Body    []byte   `cbor:"7,keyasint,omitempty"`
	// RemainingMillis is the time until the deadline, in milliseconds, when the message was sent.
	RemainingMillis int64 `cbor:"8,keyasint"`
	Idempotent      bool  `cbor:"9,keyasint"`
}

// Kind implements Message.
func (*Request) Kind() Kind { return KindRequest }

// Outcome is the result of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeAnswered: the target ran the request and the reply holds its complete response.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the request did not run and will never run with this attempt number.
	OutcomeNotRun
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
	// OutcomeRunning: the request is in progress (in a QueryReply only).
	OutcomeRunning
)

// NotRunReason is the reason why a request was not run.
type NotRunReason uint8

// Reasons for "not run".
const (
	NotRunNone NotRunReason = iota
	// NotRunBusy: no free slot or connection.
	NotRunBusy
	// NotRunNoTarget: the worker has no available target for the service.
	NotRunNoTarget
	// NotRunLeaving: the target or the agent is leaving.
	NotRunLeaving
	// NotRunDeadline: the deadline had passed.
	NotRunDeadline
	// NotRunConnect: no connection to the target could be opened.
	NotRunConnect
	// NotRunNotReceived: the agent has no record of the request and refuses it if it still arrives.
	NotRunNotReceived
	// NotRunZone: the worker's availability zone is out of service.
	NotRunZone
	// NotRunCancelled: the caller cancelled the request before it started.
	NotRunCancelled
	// NotRunInvalid: the request is malformed or too large.
	NotRunInvalid
)

// RequestReply reports the outcome of a Request.
type RequestReply struct {
	ID      string       `cbor:"1,keyasint"`
	Attempt uint32       `cbor:"2,keyasint"`
	Outcome Outcome      `cbor:"3,keyasint"`
	Reason  NotRunReason `cbor:"4,keyasint,omitempty"`
	// Status, Headers and Body are the target's response; they are set only with OutcomeAnswered.
	Status  int      `cbor:"5,keyasint,omitempty"`
	Headers []Header `cbor:"6,keyasint,omitempty"`
	Body    []byte   `cbor:"7,keyasint,omitempty"`
	// ServiceMicros is the target's response time, in microseconds.
	ServiceMicros int64 `cbor:"8,keyasint,omitempty"`
}

// Kind implements Message.
func (*RequestReply) Kind() Kind { return KindRequestReply }

// RequestKey identifies one attempt of a request.
type RequestKey struct {
	ID      string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	// RemainingMillis is the time until the deadline, in milliseconds. An agent that refuses the request
	// keeps the refusal until the deadline has passed.
	RemainingMillis int64 `cbor:"3,keyasint"`
}

// Query asks an agent for the outcome of requests sent over an earlier link.
type Query struct {
	Keys []RequestKey `cbor:"1,keyasint"`
	// Incarnation identifies the agent process that the requests were sent to. Another incarnation has no
	// record of them.
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
