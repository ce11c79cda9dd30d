package wire

// StoreOperation is a call to the platform's store that another entry makes for the sender.
type StoreOperation uint8

// Store operations.
const (
	StoreGet     StoreOperation = 1
	StoreList    StoreOperation = 2
	StoreChanges StoreOperation = 3
	StoreCommit  StoreOperation = 4
	StoreRenew   StoreOperation = 5
)

// StoreOutcome is how a store call ended.
type StoreOutcome uint8

// Outcomes of a store call.
const (
	StoreDone StoreOutcome = 1
	// StoreNotDone is a call that certainly had no effect.
	StoreNotDone StoreOutcome = 2
	// StoreUnknown is a write that may have taken effect.
	StoreUnknown StoreOutcome = 3
	// StoreNotFound is a read of a key that does not exist.
	StoreNotFound StoreOutcome = 4
	// StoreConditionFailed is a commit of which a condition did not hold.
	StoreConditionFailed StoreOutcome = 5
	// StoreLeaseGone is a call about a lease that has ended.
	StoreLeaseGone StoreOutcome = 6
	// StoreCompacted is a read of changes that the store no longer has.
	StoreCompacted StoreOutcome = 7
)

// StoreItem is one key. In a condition the value is empty and the revision the required one.
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
	// BudgetMillis is how long the sender waits for the reply.
	BudgetMillis int64 `cbor:"3,keyasint"`
	// Key is the key of a get, or the prefix of a list or of changes.
	Key string `cbor:"4,keyasint,omitempty"`
	// After and WaitMillis are the revision and the time to wait of a call for changes.
	After      uint64 `cbor:"5,keyasint,omitempty"`
	WaitMillis int64  `cbor:"6,keyasint,omitempty"`
	// Conditions, Writes and Deletes are those of a commit.
	Conditions []StoreItem `cbor:"7,keyasint,omitempty"`
	Writes     []StoreItem `cbor:"8,keyasint,omitempty"`
	Deletes    []string    `cbor:"9,keyasint,omitempty"`
	// Lease is the lease to renew.
	Lease uint64 `cbor:"10,keyasint,omitempty"`
}

// Kind implements Message.
func (*StoreCall) Kind() Kind { return KindStoreCall }

// StoreReply answers a StoreCall.
type StoreReply struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Outcome  StoreOutcome `cbor:"2,keyasint"`
	// Revision is that of a commit, a list or changes.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Items are the keys read, or the present state of the keys of failed conditions.
	Items []StoreItem `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*StoreReply) Kind() Kind { return KindStoreReply }
