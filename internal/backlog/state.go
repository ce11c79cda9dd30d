package backlog

import (
	"slices"

	"clementineflow/internal/wire"
)

// State says what the coordinator has no room for. The coordinator stores it, and entries watch it. The zero value is that
// of a coordinator with room for everything.
type State struct {
	// Queues lists the closed queues in the order of their names.
	Queues []string `cbor:"1,keyasint,omitempty"`
	// Cancellations is set if there is no room for cancellations without a job.
	Cancellations bool `cbor:"2,keyasint,omitempty"`
}

// IsClosed reports whether the queue is closed.
func (s *State) IsClosed(queue string) bool {
	_, found := slices.BinarySearch(s.Queues, queue)
	return found
}

// Equal reports whether the states are the same.
func (s *State) Equal(other State) bool {
	return s.Cancellations == other.Cancellations && slices.Equal(s.Queues, other.Queues)
}

// Empty reports whether there is room for everything.
func (s *State) Empty() bool { return len(s.Queues) == 0 && !s.Cancellations }

// Encode returns the stored encoding of the state.
func (s *State) Encode() ([]byte, error) { return wire.Marshal(s) }

// DecodeState decodes a stored state.
func DecodeState(data []byte) (State, error) {
	state, err := wire.Unmarshal[State](data)
	if err != nil {
		return State{}, err
	}
	slices.Sort(state.Queues)
	return *state, nil
}
