package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnsettledIsBounded guards against memory that grows with every unconfirmed submission during an outage of
// the store, and against ids that are never removed.
func TestUnsettledIsBounded(t *testing.T) {
	is := is.New(t)
	u := newUnsettled()
	now := time.Unix(1000, 0)
	for i := range 3 * maxUnsettled {
		u.add(fmt.Sprint(i), now)
	}
	is.Equal(len(u.since), maxUnsettled)
	is.Equal(len(u.order), maxUnsettled)
	is.True(!u.has("0", now))
	newest := fmt.Sprint(3*maxUnsettled - 1)
	is.True(u.has(newest, now))
	is.True(!u.has(newest, now.Add(unsettledTime+time.Second)))
	u.add("later", now.Add(unsettledTime+time.Second))
	is.Equal(len(u.since), 1)
}
