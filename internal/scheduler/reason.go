package scheduler

// Reason is the reason for which a filter excludes a worker. The zero value means that it does not.
type Reason uint8

// Reasons of the filters, in the order in which they are checked.
const (
	ReasonDisconnected Reason = iota + 1
	ReasonLeaving
	ReasonQuarantined
	ReasonZoneOutOfService
	ReasonZoneNotAllowed
	ReasonFailedHere
	ReasonProcessors
	ReasonMemory
	ReasonAccelerators
	ReasonObservedUse
	ReasonSpread
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonDisconnected: "disconnected", ReasonLeaving: "leaving", ReasonQuarantined: "quarantined",
	ReasonZoneOutOfService: "zone_out_of_service", ReasonZoneNotAllowed: "zone_not_allowed",
	ReasonFailedHere: "failed_here", ReasonProcessors: "processors", ReasonMemory: "memory",
	ReasonAccelerators: "accelerators", ReasonObservedUse: "observed_use", ReasonSpread: "spread",
}

// String returns the reason as a metric label.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// reasonCounts holds the number of excluded workers, indexed by reason.
type reasonCounts [reasonCount]int

// counts returns the counts above zero in the order of the reasons.
func (t *reasonCounts) counts() []FilterCount {
	var counts []FilterCount
	for reason, workers := range t {
		if workers > 0 {
			counts = append(counts, FilterCount{Reason: Reason(reason), Workers: workers})
		}
	}
	return counts
}
