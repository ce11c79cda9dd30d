package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"clementineflow/internal/replay"
	"clementineflow/internal/resource"
	"clementineflow/internal/settings"
)

// seed is the fixed seed of every trace.
const seed = 4711

// generator gathers the lines of one trace.
type generator struct {
	deployment
	random *rand.Rand
	header replay.Header
	events []replay.Line
	stated []replay.Line
	jobs   int
}

// generate writes the trace of one scenario.
func generate(writer io.Writer, examples string, d deployment, s scenario) error {
	path := filepath.Join(examples, d.region, "configuration.yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	document, err := settings.DecodeConfiguration(path, data)
	if err != nil {
		return err
	}
	document.Revision = 1
	g := &generator{
		deployment: d, random: rand.New(rand.NewPCG(seed, uint64(len(d.region)))),
		header: replay.Header{
			Version: replay.Version, Seed: seed, Region: d.region, Zone: d.layout[0].zone, Configuration: document,
		},
	}
	g.fleet()
	s.fill(g)
	g.state("no worker is given more than it can hold", replay.Expectation{Capacity: &replay.ExpectCapacity{}})
	g.state("no task runs in two places or finishes twice", replay.Expectation{OnePlaceOnly: &replay.ExpectOnePlaceOnly{}})
	return g.write(writer)
}

func (g *generator) write(writer io.Writer) error {
	slices.SortStableFunc(g.events, func(a, b replay.Line) int { return int(a.At - b.At) })
	lines := append([]replay.Line{{Header: &g.header}}, g.events...)
	for _, line := range append(lines, g.stated...) {
		if err := replay.Encode(writer, &line); err != nil {
			return err
		}
	}
	return nil
}

func (g *generator) add(at time.Duration, line replay.Line) {
	line.At = replay.Duration(at.Round(time.Millisecond))
	g.events = append(g.events, line)
}

func (g *generator) state(name string, expectation replay.Expectation) {
	expectation.Name = name
	g.stated = append(g.stated, replay.Line{Expect: &expectation})
}

// fleet joins the workers and submits the watches.
func (g *generator) fleet() {
	for _, place := range g.layout {
		for number := range place.workers {
			g.add(0, replay.Line{WorkerJoined: &replay.WorkerJoined{
				Name: workerName(place.zone, number), Zone: place.zone,
				Rack: fmt.Sprintf("%s-r%d", place.zone, 1+number/workersPerRack),
				Boot: "boot-1", Session: 1, Capacity: g.size, Every: replay.Duration(time.Second),
				Targets: []replay.Target{{Service: g.service, Slots: slots, Connections: connections, WithReplica: true}},
			}})
		}
	}
	for number := range g.watches {
		g.add(time.Second, replay.Line{Submit: &replay.Submit{
			Name: fmt.Sprintf("watch-%d", number), Kind: "watch", Team: g.watchTeam, Class: g.watchClass,
			Size: g.watch, SpreadGroup: g.watchClass, Run: &replay.Run{},
		}})
	}
}

func workerName(zone string, number int) string { return fmt.Sprintf("%s-%d", zone, number+1) }

func (g *generator) watchID(number int) string {
	return fmt.Sprintf("watch/%s/watch-%d", g.watchTeam, number)
}

// watchesRun states that every watch runs at the time.
func (g *generator) watchesRun(by time.Duration) {
	for number := range g.watches {
		g.state("watches are not dropped", replay.Expectation{Running: &replay.ExpectRunning{Task: g.watchID(number), By: replay.Duration(by)}})
	}
}

// requests lets requests arrive at the deployment's rate.
func (g *generator) requests(from, to time.Duration) {
	every := time.Second / time.Duration(g.rate)
	g.add(from, replay.Line{Requests: &replay.Requests{
		Request: replay.Request{
			ID: fmt.Sprintf("check-%s", from), Service: g.service, Team: g.requestTeam, Caller: "counter",
			Timeout: replay.Duration(time.Second), ServiceTime: replay.Duration(g.serviceTime), Idempotent: true,
		},
		Count: int((to - from) / every), Every: replay.Duration(every),
	}})
}

// answered states the share of requests that is answered within the time.
func (g *generator) answered(name string, from, to, within time.Duration, permille int) {
	g.state(name, replay.Expectation{Answered: &replay.ExpectAnswered{
		Window: window(from, to), Service: g.service, AtLeastPermille: permille, Within: replay.Duration(within),
	}})
}

func window(from, to time.Duration) replay.Window {
	return replay.Window{From: replay.Duration(from), To: replay.Duration(to)}
}

// job is a batch job of the deployment; change adapts it.
func (g *generator) job(at, run time.Duration, priority string, change func(*replay.Submit)) string {
	g.jobs++
	submit := &replay.Submit{
		Name: fmt.Sprintf("job-%d", g.jobs), Kind: "batch", Team: g.batchTeam, Class: g.batchClass, Priority: priority,
		Size: g.jobSize, ExpectedRunTime: replay.Duration(run.Round(time.Second)),
		Run: &replay.Run{Time: replay.Duration(run.Round(time.Millisecond)), Checkpoint: replay.Duration(5 * time.Second)},
	}
	if change != nil {
		change(submit)
	}
	g.add(at, replay.Line{Submit: submit})
	return "batch/" + submit.Team + "/" + submit.Name
}

// between returns a random duration.
func (g *generator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.random.Int64N(int64(high-low)))
}

// steadyJobs submits normal jobs at random times; it returns when each would end on a free worker.
func (g *generator) steadyJobs(count int, from, to, shortest, longest time.Duration) []time.Duration {
	var ends []time.Duration
	for range count {
		at, run := g.between(from, to), g.between(shortest, longest)
		g.job(at, run, "normal", nil)
		ends = append(ends, at+run+time.Second)
	}
	return ends
}

// urgentJobs submits urgent jobs at an interval and states how soon they start.
func (g *generator) urgentJobs(from, to, every time.Duration) {
	for at := from; at < to; at += every {
		g.job(at, 20*time.Second, "urgent", nil)
	}
	g.state("urgent work starts within 3.3 s", replay.Expectation{UrgentStart: &replay.ExpectUrgentStart{
		Window: window(from, to), Within: replay.Duration(3300 * time.Millisecond),
	}})
}

func (g *generator) finished(name string, to time.Duration, atLeast int) {
	g.state(name, replay.Expectation{Finished: &replay.ExpectFinished{Window: window(0, to), AtLeast: atLeast}})
}

func (g *generator) final(by time.Duration) {
	g.state("every batch task reaches a final state", replay.Expectation{Final: &replay.ExpectFinal{By: replay.Duration(by)}})
}

func (g *generator) zone(at time.Duration, name string, inService bool) {
	g.add(at, replay.Line{Zone: &replay.ZoneChange{Name: name, InService: inService}})
}

// times returns a multiple of a size.
func times(size resource.Quantity, factor int64) resource.Quantity {
	return resource.Quantity{MilliCPU: factor * size.MilliCPU, MemoryBytes: factor * size.MemoryBytes}
}
