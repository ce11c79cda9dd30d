package wire

// StoreOperation is the type of a call to the platform's store that another entry makes for the sender.
type StoreOperation uint8

// Store operations.
const (
	StoreGet     StoreOperation = 1
	StoreList    StoreOperation = 2
	StoreChanges StoreOperation = 3
	StoreCommit  StoreOperation = 4
	StoreRenew   StoreOperation = 5
)

// StoreOutcome is the result of a store call.
type StoreOutcome uint8

// Outcomes of a store call.
const (
	StoreDone StoreOutcome = 1
	// StoreNotApplied: the call certainly had no effect.
	StoreNotApplied StoreOutcome = 2
	// StoreOutcomeUnknown: the write may have taken effect.
	StoreOutcomeUnknown StoreOutcome = 3
	// StoreNotFound: the key to read does not exist.
	StoreNotFound StoreOutcome = 4
	// StoreConditionFailed: a condition of the commit did not hold.
	StoreConditionFailed StoreOutcome = 5
	// StoreLeaseNotFound: the lease has ended.
	StoreLeaseNotFound StoreOutcome = 6
	// StoreCompacted: the store no longer has the changes that were asked for.
	StoreCompacted StoreOutcome = 7
)

// StoreItem is one key of a store call or its reply. In a condition, Value is empty and Revision is the
// required revision.
type StoreItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64
	Deleted  bool
}

// StoreCall asks an entry to make a call to the store.
type StoreCall struct {
	Sequence  uint64         `cbor:"1,keyasint"`
	Operation StoreOperation `cbor:"2,keyasint"`
	// TimeoutMillis is the time that the sender waits for the reply, in milliseconds.
	TimeoutMillis int64 `cbor:"3,keyasint"`
	// Key is the key of a get, or the prefix of a list or of changes.
	Key string `cbor:"4,keyasint,omitempty"`
	// After is the revision after which changes are read, and WaitMillis the maximum wait for them, in
	// milliseconds.
	After      uint64 `cbor:"5,keyasint,omitempty"`
	WaitMillis int64  `cbor:"6,keyasint,omitempty"`
	// Conditions, Writes and Deletes are the parts of a commit.
	Conditions []StoreItem `cbor:"7,keyasint,omitempty"`
	Writes     []StoreItem `cbor:"8,keyasint,omitempty"`
	Deletes    []string    `cbor:"9,keyasint,omitempty"`
	// Lease is the lease to renew.
	Lease uint64 `cbor:"10,keyasint,omitempty"`
}

// Kind implements Message.
func (*StoreCall) Kind() Kind { return KindStoreCall }

// StoreReply returns the result of a StoreCall.
type StoreReply struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Outcome  StoreOutcome `cbor:"2,keyasint"`
	// Revision is the store revision of a commit, a list or a read of changes.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Items are the keys that were read, or the current state of the keys whose conditions failed.
	Items []StoreItem `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*StoreReply) Kind() Kind { return KindStoreReply }
