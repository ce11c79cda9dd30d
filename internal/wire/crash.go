package wire

// WorkerCrash describes the crash of one incarnation of a worker, as its agent saw it.
type WorkerCrash struct {
	WorkerID    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Runs are the runs that were lost with the worker, except those whose start was never sent to it.
	Runs []CrashedRun `cbor:"3,keyasint,omitempty"`
}

// CrashedRun is a run that was lost with its worker.
type CrashedRun struct {
	_    struct{} `cbor:",toarray"`
	Task string
	Run  uint32
	// AgeMillis is the time, in milliseconds, from the first start call to the first sign of the crash. It is negative
	// if the agent does not know when, or whether, the run started.
	AgeMillis int64
}
