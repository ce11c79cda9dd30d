package submit

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/fleet"
)

// TestRequest guards against a wrong priority, and against a payload from which the time to start cannot
// be computed.
func TestRequest(t *testing.T) {
	is := is.New(t)
	due := time.UnixMilli(1_700_000_000_123)
	config := Config{UrgentEvery: 20, Prefix: "load", Team: "a", Class: "c", MilliCPU: 100, Memory: 1 << 20, RunTime: time.Second}
	for index, priority := range map[int]operatorv1.Priority{
		0: operatorv1.Priority_PRIORITY_URGENT, 19: operatorv1.Priority_PRIORITY_NORMAL, 20: operatorv1.Priority_PRIORITY_URGENT,
	} {
		request, err := config.buildRequest(index, due)
		is.NoErr(err)
		is.Equal(request.GetSpec().GetPriority(), priority)
		var payload fleet.Payload
		is.NoErr(json.Unmarshal(request.GetSpec().GetPayload(), &payload))
		is.Equal(payload, fleet.Payload{
			RunMillis: 1000, SubmittedMillis: due.UnixMilli(), Urgent: priority == operatorv1.Priority_PRIORITY_URGENT,
		})
	}
	_, err := Run(context.Background(), Config{})
	is.True(err != nil)
}
