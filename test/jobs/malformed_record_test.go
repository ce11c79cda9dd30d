package jobs

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/coordinator"
	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
)

// invalidSpecs returns jobs that no entry stores, by a name for messages.
func invalidSpecs() map[string]job.Step {
	return map[string]job.Step{
		"count too large":   {Count: 1 << 46},
		"count negative":    {Count: -1},
		"depends on itself": {Count: 1, After: []int{0}},
		"depends on none":   {Count: 1, After: []int{1 << 40, -3}},
		"negative need":     {Count: 1, Need: resource.Quantity{MilliCPU: -1 << 60}},
	}
}

// putMalformedRecords writes records that another writer may leave below the prefixes that the coordinator reads.
func putMalformedRecords(is *is.I, r *region) {
	nested := string(bytes.Repeat([]byte{0x81}, 100_000))
	values := []string{"", "{}", "\xff", nested, "\xa1\x01\x1b\xff\xff\xff\xff\xff\xff\xff\xff", "\xa1\x01\xf9\x7e\x00"}
	for i, value := range values {
		id := fmt.Sprintf("%016x", 0xbad00+i)
		for _, key := range []string{coordinator.JobKey(id), coordinator.ProgressKey(id), coordinator.AgentKey(id), "entry/" + id} {
			r.put(key, value)
		}
	}
	i := 0
	for _, step := range invalidSpecs() {
		i++
		id := fmt.Sprintf("%016x", 0xbadbad00+i)
		value, err := job.EncodeSpec(&job.Spec{ID: id, Queue: "queue", Service: "service", Steps: []job.Step{step}})
		is.NoErr(err)
		r.put(coordinator.JobKey(id), string(value))
	}
	for i, address := range []string{"", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:70000", nested} {
		value, err := coordinator.EncodeAgentRecord(&coordinator.AgentRecord{Address: address})
		is.NoErr(err)
		r.put(coordinator.AgentKey(fmt.Sprintf("malformed-%d", i)), string(value))
		r.put(coordinator.AgentKey(""), string(value))
	}
}

// TestMalformedRecordsBlockNothing guards against one record of another writer that ends each term of each coordinator, or
// that keeps it from reading the records beside it.
func TestMalformedRecordsBlockNothing(t *testing.T) {
	runInRegion(t, func(_ *is.I, r *region) {
		is := is.NewRelaxed(t)
		putMalformedRecords(is, r)
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000001", 3)), gateway.Accepted)
		time.Sleep(5 * time.Second)
		// The next coordinator reads all records before it decides.
		leader := r.leader()
		leader.kill()
		time.Sleep(handoverTimeout)
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000002", 3)), gateway.Accepted)
		time.Sleep(5 * time.Second)
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			state, err := r.state(r.nonLeader(), id)
			is.NoErr(err)
			is.Equal(state, job.StateDone)
		}
	})
}
