package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newController(teams ...configuration.Team) *Controller {
	c := New()
	c.Configure(start, teams)
	return c
}

// TestTeamRate guards against admitting a team above its configured rate and against a RetryAfter that
// is too short.
func TestTeamRate(t *testing.T) {
	is := is.New(t)
	c := newController(configuration.Team{Name: "a", Weight: 1, RequestsPerSecond: 10})
	for range 10 {
		is.True(c.Admit(start, "a", "x", task.PriorityNormal, Load{}).OK())
	}
	refused := c.Admit(start, "a", "x", task.PriorityNormal, Load{})
	is.Equal(refused, Decision{Reason: TeamRate, RetryAfter: 100 * time.Millisecond})
	is.True(c.Admit(start.Add(refused.RetryAfter), "a", "x", task.PriorityNormal, Load{}).OK())
	is.Equal(c.Admit(start, "b", "x", task.PriorityNormal, Load{}).Reason, UnknownTeam)
}

// TestCallerShare guards against one caller that uses the whole rate of its team.
func TestCallerShare(t *testing.T) {
	is := is.New(t)
	c := newController(configuration.Team{Name: "a", Weight: 1, RequestsPerSecond: 100})
	for _, caller := range []string{"w", "x", "y", "z"} {
		is.True(c.Admit(start, "a", caller, task.PriorityNormal, Load{}).OK())
	}
	var last Decision
	admitted := 0
	for range 100 {
		if last = c.Admit(start, "a", "x", task.PriorityNormal, Load{}); last.OK() {
			admitted++
		}
	}
	is.Equal(admitted, 50) // twice the even share of 25
	is.Equal(last.Reason, CallerRate)
	is.True(c.Admit(start, "a", "y", task.PriorityNormal, Load{}).OK())
}

// TestShedOrder guards against shedding a higher priority before a lower one.
func TestShedOrder(t *testing.T) {
	is := is.New(t)
	c := newController(configuration.Team{Name: "a", Weight: 1})
	admitted := func(priority task.Priority, inProgress int) bool {
		return c.Admit(start, "a", "x", priority, Load{InProgress: inProgress, Limit: 10}).OK()
	}
	is.True(admitted(task.PriorityLow, 8))
	is.True(!admitted(task.PriorityLow, 9))
	is.True(admitted(task.PriorityNormal, 9))
	is.True(!admitted(task.PriorityNormal, 15))
	is.True(admitted(task.PriorityUrgent, 100))
	is.True(c.Admit(start, "a", "x", task.PriorityLow, Load{InProgress: 9, Limit: 10}).RetryAfter > 0)
}

// TestFairShare guards against a team that holds more than its weighted share while others wait, and
// against leaving shares of inactive teams unused.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	c := newController(configuration.Team{Name: "a", Weight: 3}, configuration.Team{Name: "b", Weight: 1})
	busy := Load{InProgress: 8, Limit: 8}
	admit := func(team string) Reason { return c.Admit(start, team, "x", task.PriorityNormal, busy).Reason }
	for range 8 {
		is.Equal(admit("a"), Admitted) // no other team is active
	}
	is.Equal(admit("b"), Admitted)
	is.Equal(admit("b"), Admitted)
	is.Equal(admit("b"), FairShare)
	is.Equal(admit("a"), FairShare)
	for range 3 {
		c.Release("a")
	}
	is.Equal(admit("a"), Admitted)
}
