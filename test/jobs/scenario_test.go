package jobs

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
)

// Jobs of the scenario.
const (
	chainID    = "00000000000000b1"
	flakyID    = "00000000000000b2"
	cancelID   = "00000000000000b3"
	zoneOutID  = "00000000000000b4"
	lastID     = "00000000000000b5"
	lasting    = 4
	flakyTask  = flakyID + ".0.0.0"
	brokenTask = watchID + ".0.0.1"
)

const (
	warmUpTime = 3 * time.Second
	// scenarioLength is the time from the end of the warm-up to the end of the scenario.
	scenarioLength = 11 * time.Second
	// quietTime is the time from the end of the scenario to the check of its outcome.
	quietTime = 20 * time.Second
	// clientAttempts and clientPause bound the attempts of a caller for one request.
	clientAttempts = 12
	clientPause    = 300 * time.Millisecond
	// brokenAfter is when the first run of one task that lasts fails.
	brokenAfter = 8 * time.Second
)

// play is one play of a scenario with faults at its messages.
type play struct {
	region *region
	tap    *messageTap
	// control is held while a process is started, killed or looked up. A mutex would stop the virtual time.
	control chan struct{}

	mu sync.Mutex
	// accepted holds when each job was accepted.
	accepted map[string]time.Time
	// ran counts the starts of the tasks whose first run fails.
	ran    map[string]int
	errors []string
}

// event is something that happens in a scenario at a time after the warm-up.
type event struct {
	at time.Duration
	do func(p *play)
}

// scenario is the script of a play.
type scenario struct {
	events []event
	// maxIdle is how long a task that lasts may be idle. Within idleAfterFault after the latest fault it may be idle for longer.
	maxIdle        time.Duration
	idleAfterFault time.Duration
}

const (
	// maxIdleOnLostMachine allows for a start order that is lost just before the agent is lost, and for a silent worker
	// on which the task is then placed.
	maxIdleOnLostMachine = 11 * time.Second
	// idleAfterMachineLoss allows for a coordinator that is killed after a machine was lost: the next one is elected after
	// 1.6 s, and waits 7.8 s until the lease of the lost machine has certainly ended.
	idleAfterMachineLoss = 10 * time.Second
)

var scenarios = map[string]scenario{
	"workers":  {events: slices.Concat(jobEvents, workerEvents), maxIdle: maxIdleTime},
	"restarts": {events: slices.Concat(jobEvents, workerEvents, restartEvents), maxIdle: maxIdleTime},
	"machines": {
		events:  slices.Concat(jobEvents, machineEvents),
		maxIdle: maxIdleOnLostMachine, idleAfterFault: idleAfterMachineLoss,
	},
}

// jobEvents hand in jobs of each kind, cancel one, and take a zone out of service for some time.
var jobEvents = []event{
	{0, func(p *play) { p.submit(newLastingSpec(watchID, lasting)) }},
	{0, func(p *play) { p.submit(newSmallSpec(chainID, 3, 2)) }},
	{0, func(p *play) { p.submit(newSmallSpec(flakyID, 2)) }},
	{500 * time.Millisecond, func(p *play) { p.submit(newSmallSpec(cancelID, 3, 1)) }},
	{3000 * time.Millisecond, func(p *play) { p.cancel(cancelID) }},
	{5500 * time.Millisecond, func(p *play) { p.region.setZoneOutOfService("south", true) }},
	{5600 * time.Millisecond, func(p *play) { p.submit(newSmallSpec(zoneOutID, 2, 1)) }},
	{7500 * time.Millisecond, func(p *play) { p.region.setZoneOutOfService("south", false) }},
	{9000 * time.Millisecond, func(p *play) { p.submit(newSmallSpec(lastID, 4, 2)) }},
}

// workerEvents lose one worker for good and restart another.
var workerEvents = []event{
	{2000 * time.Millisecond, func(p *play) { p.region.agents[2].worker.Crash() }},
	{4000 * time.Millisecond, func(p *play) { p.region.agents[1].worker.Crash() }},
	{5000 * time.Millisecond, func(p *play) { p.region.agents[1].worker.Restart() }},
}

// restartEvents restart the coordinator, the agent of the lost worker and the agent of a worker with runs.
var restartEvents = []event{
	{1900 * time.Millisecond, func(p *play) { p.kill("entry-0") }},
	{4200 * time.Millisecond, func(p *play) { p.start("entry-0") }},
	{6100 * time.Millisecond, func(p *play) { p.kill("agent-2") }},
	{6800 * time.Millisecond, func(p *play) { p.start("agent-2") }},
	{8600 * time.Millisecond, func(p *play) { p.kill("agent-0") }},
	{9300 * time.Millisecond, func(p *play) { p.start("agent-0") }},
}

// machineEvents lose a machine, restart a worker before its agent notices, and make another worker silent for some time.
var machineEvents = []event{
	{2000 * time.Millisecond, func(p *play) { p.region.agents[2].worker.Crash() }},
	{2000 * time.Millisecond, func(p *play) { p.kill("agent-2") }},
	{4000 * time.Millisecond, func(p *play) { p.region.agents[1].worker.Crash() }},
	{4200 * time.Millisecond, func(p *play) { p.region.agents[1].worker.Restart() }},
	{6000 * time.Millisecond, func(p *play) { p.region.agents[0].worker.SetUnresponsive(true) }},
	{10500 * time.Millisecond, func(p *play) { p.region.agents[0].worker.SetUnresponsive(false) }},
}

// newSmallSpec returns a job of consecutive steps whose tasks need half a core each, so that one worker has room for
// all jobs of the scenario.
func newSmallSpec(id string, tasks ...int) *job.Spec {
	spec := newSpec(id, tasks...)
	for i := range spec.Steps {
		spec.Steps[i].Need = resource.Quantity{MilliCPU: 500}
	}
	return spec
}

func newLastingSpec(id string, tasks int) *job.Spec {
	spec := newSmallSpec(id, tasks)
	spec.Steps[0].LongRunning = true
	return spec
}

// work returns the work of a task of the scenario.
func (p *play) work(task string) jobworker.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	work := jobworker.Work{Duration: 1200 * time.Millisecond, Need: resource.Quantity{MilliCPU: 500}}
	p.ran[task]++
	first := p.ran[task] == 1
	switch {
	case task == brokenTask && first:
		work.Duration, work.Fails = brokenAfter, true
	case strings.HasPrefix(task, watchID):
		work.Duration = time.Hour
	case strings.HasPrefix(task, cancelID):
		work.Duration = 30 * time.Second
	case task == flakyTask && first:
		work.Fails = true
	}
	return work
}

// runPlay plays a scenario with faults and returns its messages and whether all faults were injected.
func runPlay(t *testing.T, script scenario, faults []messageFault) (seen []messageKey, reached bool) {
	tap := newMessageTap(faults)
	n := newNetwork()
	n.observe = tap.observe
	p := &play{tap: tap, control: make(chan struct{}, 1), accepted: map[string]time.Time{}, ran: map[string]int{}}
	tap.play = p
	startPlayRegion(t, p, n)
	startedAt := time.Now()
	ended := make(chan struct{})
	go p.watchLastingTasks(script, ended)
	for _, e := range sortedEvents(script.events) {
		time.Sleep(time.Until(startedAt.Add(e.at)))
		e.do(p)
	}
	time.Sleep(time.Until(startedAt.Add(scenarioLength)))
	seen = tap.endScenario()
	time.Sleep(quietTime)
	close(ended)
	p.checkOutcome()
	p.region.checkGuarantees()
	p.region.stop()
	time.Sleep(time.Minute)
	return seen, tap.reached == len(faults)
}

// addErrorf records a failed check.
func (p *play) addErrorf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errors = append(p.errors, fmt.Sprintf(format, args...))
}

// lock and unlock guard the processes of the region.
func (p *play) lock()   { p.control <- struct{}{} }
func (p *play) unlock() { <-p.control }

// kill kills the process with the name, unless it is down.
func (p *play) kill(name string) {
	p.lock()
	defer p.unlock()
	for _, e := range p.region.entries {
		if e.name == name {
			e.kill()
		}
	}
	for _, a := range p.region.agents {
		if a.name == name {
			a.kill()
			p.tap.forgetOrders(name)
		}
	}
}

// start starts the process with the name, unless it is up.
func (p *play) start(name string) {
	p.lock()
	defer p.unlock()
	for _, e := range p.region.entries {
		if e.name == name && e.cancel == nil {
			e.start(1)
		}
	}
	for _, a := range p.region.agents {
		if a.name == name && a.cancel == nil {
			a.start()
		}
	}
}

// entry returns a copy of the entry for an attempt of a caller: the entries in turn, without those that are down.
func (p *play) entry(attempt int) *entryProcess {
	p.lock()
	defer p.unlock()
	entries := p.region.entries
	for i := range entries {
		if e := entries[(attempt+i)%len(entries)]; e.cancel != nil {
			copied := *e
			return &copied
		}
	}
	return nil
}

// request repeats a call of a caller until it is accepted.
func (p *play) request(what, id string, call func(e *entryProcess) gateway.Outcome) bool {
	outcome := gateway.Unknown
	for attempt := range clientAttempts {
		if e := p.entry(attempt + 1); e != nil {
			if outcome = call(e); outcome == gateway.Accepted {
				return true
			}
		}
		time.Sleep(clientPause)
	}
	p.addErrorf("%s of %s not accepted in %d attempts: %s", what, id, clientAttempts, outcome)
	return false
}

// submit submits a job, as often as it takes.
func (p *play) submit(spec *job.Spec) {
	go func() {
		accepted := p.request("submission", spec.ID, func(e *entryProcess) gateway.Outcome {
			copied := *spec
			return p.region.submit(e, &copied)
		})
		if accepted {
			p.mu.Lock()
			p.accepted[spec.ID] = time.Now()
			p.mu.Unlock()
		}
	}()
}

// cancel cancels a job, as often as it takes.
func (p *play) cancel(id string) {
	go p.request("cancellation", id, func(e *entryProcess) gateway.Outcome { return p.region.cancel(e, id) })
}
