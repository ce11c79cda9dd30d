package task

var kindNames = map[Kind]string{KindBatch: "batch", KindWatch: "watch", KindService: "service"}

// String returns the kind's name in lower case, or "" for an unknown value.
func (k Kind) String() string { return kindNames[k] }

var priorityNames = map[Priority]string{
	PriorityLow: "low", PriorityNormal: "normal", PriorityUrgent: "urgent",
}

// String returns the priority's name in lower case, or "" for an unknown value.
func (p Priority) String() string { return priorityNames[p] }

var stateNames = map[State]string{
	StatePending: "pending", StateAssigned: "assigned", StateRunning: "running",
	StateEvicting: "evicting", StateCancelling: "cancelling", StateFinished: "finished",
	StateFailed: "failed", StateCancelled: "cancelled", StateUnknown: "unknown",
	StateQuarantined: "quarantined",
}

// String returns the state's name in lower case, or "" for an unknown value.
func (s State) String() string { return stateNames[s] }
