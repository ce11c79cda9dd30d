package coordinator

import (
	"sync"
	"time"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// unreachableRecord lists agents to which the coordinator has no link. A coordinator acknowledges no ping of a listed
// agent, whichever term listed it, before it has written the record without the agent.
type unreachableRecord struct {
	// Term is the term that wrote the record.
	Term   uint64             `cbor:"1,keyasint"`
	Agents []unreachableAgent `cbor:"2,keyasint"`
}

// unreachableAgent is an agent without a link.
type unreachableAgent struct {
	Name string `cbor:"1,keyasint"`
	// Loss numbers the loss of the link; a later loss of the same agent has another number.
	Loss uint64 `cbor:"2,keyasint"`
	// SilentMillis is how long before the record was sent the last ping was acknowledged, at least.
	SilentMillis int64 `cbor:"3,keyasint"`
}

// loss identifies one loss of a link to an agent.
type loss struct {
	agent  string
	number uint64
}

// sightings holds when the last pings of the listed agents were acknowledged at the latest, on this process's clock.
// Clocks of different processes are never compared: a record was written before it is seen.
type sightings struct {
	mu      sync.Mutex
	latest  store.KeyValue
	ackedBy map[loss]time.Duration
}

// observe takes note of a version of the record that was seen at now.
func (s *sightings) observe(item store.KeyValue, now time.Duration) (*unreachableRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := &unreachableRecord{}
	if item.Revision != 0 {
		var err error
		if record, err = wire.Unmarshal[unreachableRecord](item.Value); err != nil {
			return &unreachableRecord{}, err
		}
	}
	ackedBy := map[loss]time.Duration{}
	for _, a := range record.Agents {
		key := loss{a.Name, a.Loss}
		ackedBy[key] = now - max(0, time.Duration(a.SilentMillis)*time.Millisecond)
		if earlier, ok := s.ackedBy[key]; ok {
			ackedBy[key] = min(ackedBy[key], earlier)
		}
	}
	s.latest, s.ackedBy = item, ackedBy
	return record, nil
}

// lastAck returns when the agent's last ping was acknowledged at the latest.
func (s *sightings) lastAck(a unreachableAgent) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ackedBy[loss{a.Name, a.Loss}]
}
