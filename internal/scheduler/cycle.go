package scheduler

import (
	"math"
	"math/rand/v2"

	"clementineflow/internal/configuration"
	"clementineflow/internal/interference"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// groupPlace identifies a spread group in a zone, or in a rack if Rack is set.
type groupPlace struct{ group, zone, rack string }

// cycle is the state of one plan.
type cycle struct {
	snapshot *Snapshot
	random   *rand.Rand
	weights  configuration.Weights
	nodes    []*node
	classes  map[string]int
	// slowdown holds the logarithm of the expected slowdown of the first class by the second.
	slowdown [][]float64
	groups   map[groupPlace]int
	zoneUse  map[string]int64
	zoneSize map[string]int64
	total    resource.Quantity
	teamUse  map[string]resource.Quantity
	// teamEnding is the part of teamUse that ends with evictions and cancellations in progress.
	teamEnding map[string]resource.Quantity
	plan       Plan
	scratch    []*node
	// placeless holds the shapes of tasks that found no worker in this plan.
	placeless map[shape]tally
}

func newCycle(snapshot *Snapshot, random *rand.Rand) *cycle {
	c := &cycle{
		snapshot: snapshot, random: random, weights: weightsOf(snapshot.Document),
		classes: map[string]int{}, groups: map[groupPlace]int{},
		zoneUse: map[string]int64{}, zoneSize: map[string]int64{}, placeless: map[shape]tally{}, teamUse: map[string]resource.Quantity{},
		teamEnding: map[string]resource.Quantity{},
	}
	for team, use := range snapshot.TeamUse {
		c.teamUse[team] = use
	}
	c.internClasses()
	for index := range snapshot.Workers {
		c.addNode(&snapshot.Workers[index])
	}
	return c
}

// weightsOf returns the configured weights scaled to a sum of 1; equal weights if all are zero.
func weightsOf(document *configuration.Document) configuration.Weights {
	w := document.Weights
	sum := w.TailLatency + w.Throughput + w.Evictions + w.ZoneWork
	if sum <= 0 {
		return configuration.Weights{TailLatency: 0.25, Throughput: 0.25, Evictions: 0.25, ZoneWork: 0.25}
	}
	return configuration.Weights{
		TailLatency: w.TailLatency / sum, Throughput: w.Throughput / sum,
		Evictions: w.Evictions / sum, ZoneWork: w.ZoneWork / sum,
	}
}

func (c *cycle) internClasses() {
	for index := range c.snapshot.Workers {
		worker := &c.snapshot.Workers[index]
		for _, holding := range worker.Holdings {
			c.intern(holding.Record.Spec.Class)
		}
		for _, neighbour := range worker.Neighbours {
			c.intern(neighbour.Class)
		}
	}
	for _, record := range c.snapshot.Pending {
		c.intern(record.Spec.Class)
	}
	c.slowdown = make([][]float64, len(c.classes))
	for class, index := range c.classes {
		c.slowdown[index] = c.slowdownRow(class)
	}
}

func (c *cycle) intern(class string) {
	if _, ok := c.classes[class]; !ok {
		c.classes[class] = len(c.classes)
	}
}

func (c *cycle) slowdownRow(class string) []float64 {
	row := make([]float64, len(c.classes))
	model := c.model()
	for neighbour, index := range c.classes {
		row[index] = math.Log(model.Pair(class, neighbour, c.snapshot.Now).Slowdown)
	}
	return row
}

func (c *cycle) model() *interference.Model {
	if c.snapshot.Model == nil {
		return interference.New()
	}
	return c.snapshot.Model
}

func (c *cycle) addNode(worker *Worker) {
	n := &node{
		Worker: worker, inService: c.snapshot.Document.ZoneInService(worker.Zone), free: worker.Capacity,
		classes: make([]int, len(c.classes)), serviceClasses: make([]int, len(c.classes)),
		factor: math.Log(c.model().Worker(worker.Name, c.snapshot.Now).Slowdown),
	}
	for _, holding := range worker.Holdings {
		c.addHolding(n, holding.Record)
	}
	for _, neighbour := range worker.Neighbours {
		n.free = n.free.Sub(neighbour.Size)
		n.expectedUse = n.expectedUse.Add(neighbour.Size)
		n.count(c.classes[neighbour.Class], neighbour.Kind, 1)
	}
	if worker.HasFreeLimit {
		n.free = lower(n.free, worker.FreeLimit)
	}
	c.nodes = append(c.nodes, n)
	if n.inService {
		c.total = c.total.Add(worker.Capacity)
		c.zoneSize[n.Zone] += worker.Capacity.MilliCPU
	}
	c.zoneUse[n.Zone] += n.expectedUse.MilliCPU
}

func (c *cycle) addHolding(n *node, record *task.Record) {
	spec := &record.Spec
	n.free = n.free.Sub(spec.Size)
	n.expectedUse = n.expectedUse.Add(lower(c.snapshot.Sizes.Correct(spec.Team, spec.Class, spec.Size), n.Capacity))
	n.count(c.classes[spec.Class], spec.Kind, 1)
	if record.State == task.StateEvicting || record.State == task.StateCancelling {
		n.ending = n.ending.Add(spec.Size)
		c.endTeamUse(record)
	}
	c.addGroup(spreadGroup(spec), n, 1)
}

func (c *cycle) addGroup(group string, n *node, delta int) {
	if group == "" {
		return
	}
	c.groups[groupPlace{group, n.Zone, ""}] += delta
	c.groups[groupPlace{group, n.Zone, n.Rack}] += delta
}

// place accounts for a task on a worker.
func (c *cycle) place(t *candidate, n *node) {
	n.add(t)
	c.addGroup(t.group, n, 1)
	c.zoneUse[n.Zone] += t.expected.MilliCPU
}

// feasible returns the workers that pass every filter, valid until the next call.
func (c *cycle) feasible(t *candidate, excluded *tally) []*node {
	nodes := c.scratch[:0]
	for _, n := range c.nodes {
		reason := firstReason(placeFilters, t, n)
		if reason == 0 {
			reason = resourcesFilter{}.check(t, n)
		}
		if reason != 0 {
			excluded[reason]++
			continue
		}
		nodes = append(nodes, n)
	}
	c.scratch = nodes
	return c.spread(t, nodes, excluded)
}
