package jobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// maxLostMachineWait is the longest allowed time from the loss of a machine to the next run of a task that lasts, with
	// nothing else wrong near: calm is counted from 3 s after the loss on, and the task must run after 7 s of it.
	maxLostMachineWait = 10 * time.Second
	// yieldInterval is the minimum time between two hand-overs by one entry, and a second for the hand-over.
	yieldInterval = 11 * time.Second
)

// restart stops an entry as planned and starts it again after entryDowntime.
func (e *entryProcess) restart(seed uint64) {
	e.shutDown()
	time.Sleep(entryDowntime)
	e.start(seed)
}

// awaitLeader waits until the entry is the coordinator.
func (r *region) awaitLeader(is *is.I, e *entryProcess) {
	for deadline := time.Now().Add(yieldInterval); r.leader() != e; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
}

// TestPlannedChangesKeepTheWaitForALostMachine guards against tasks of a lost machine that wait for longer because the
// coordinator changes as planned meanwhile: the next term counted the authority of the lost agent anew (LOST).
func TestPlannedChangesKeepTheWaitForALostMachine(t *testing.T) {
	for name, change := range map[string]func(is *is.I, r *region){
		"hand-over to a stronger entry": func(is *is.I, r *region) { r.awaitLeader(is, r.entries[0]) },
		"planned stop":                  func(_ *is.I, r *region) { r.leader().restart(100) },
		"two planned stops": func(_ *is.I, r *region) {
			r.leader().restart(100)
			time.Sleep(2 * time.Second)
			r.leader().restart(101)
		},
		"planned stop of each entry": func(_ *is.I, r *region) {
			for i, e := range r.entries {
				e.restart(uint64(100 + i))
				time.Sleep(time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runPlannedChange(t, change) })
		})
	}
}

// runPlannedChange loses a machine while a weaker entry leads, 5 s before it hands over to the strongest one, and then
// changes the coordinator.
func runPlannedChange(t *testing.T, change func(is *is.I, r *region)) {
	is := is.New(t)
	r := newRegion(t, 3, 4, 1)
	time.Sleep(3 * time.Second)
	submitWatch(is, r)
	strongest := r.entries[0]
	strongest.restart(90)
	r.awaitLeader(is, strongest)
	handedOver := time.Now()
	time.Sleep(500 * time.Millisecond)
	strongest.restart(91)
	time.Sleep(time.Until(handedOver.Add(5 * time.Second)))
	tasks, lostAt := r.tasksOn(r.agents[0]), time.Now()
	is.True(len(tasks) > 0)
	r.loseMachine(r.agents[0], false)
	time.Sleep(time.Second)
	change(is, r)
	time.Sleep(2 * maxLostMachineWait)
	lasting, _ := r.longestGaps(tasks, lostAt)
	t.Logf("tasks that last run again within %s", lasting)
	if lasting > maxLostMachineWait {
		t.Errorf("want at most %s", maxLostMachineWait)
	}
	r.checkGuarantees()
	r.stop()
	time.Sleep(time.Minute)
}
