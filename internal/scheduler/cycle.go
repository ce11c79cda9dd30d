package scheduler

import (
	"math"
	"math/rand/v2"

	"clementineflow/internal/configuration"
	"clementineflow/internal/interference"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// groupLocation identifies a spread group in a zone, or in one rack of the zone if rack is set.
type groupLocation struct{ group, zone, rack string }

// cycle is the state of one scheduling cycle, which produces one plan.
type cycle struct {
	snapshot     *Snapshot
	random       *rand.Rand
	weights      configuration.Weights
	nodes        []*node
	classIndexes map[string]int
	// logSlowdown holds the natural logarithm of the expected slowdown of the class of the first index
	// by a neighbour of the class of the second index.
	logSlowdown          [][]float64
	groupCounts          map[groupLocation]int
	zoneUseMilliCPU      map[string]int64
	zoneCapacityMilliCPU map[string]int64
	totalCapacity        resource.Quantity
	teamUse              map[string]resource.Quantity
	// teamTerminating is the part of teamUse held by tasks that are being evicted or cancelled.
	teamTerminating map[string]resource.Quantity
	plan            Plan
	scratch         []*node
	// infeasible caches the exclusion counts of tasks for which this plan found no worker.
	infeasible map[placementKey]reasonCounts
}

func newCycle(snapshot *Snapshot, random *rand.Rand) *cycle {
	c := &cycle{
		snapshot: snapshot, random: random, weights: normalisedWeights(snapshot.Document),
		classIndexes: map[string]int{}, groupCounts: map[groupLocation]int{},
		zoneUseMilliCPU: map[string]int64{}, zoneCapacityMilliCPU: map[string]int64{},
		infeasible: map[placementKey]reasonCounts{},
		teamUse:    map[string]resource.Quantity{}, teamTerminating: map[string]resource.Quantity{},
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

// normalisedWeights returns the configured weights scaled to a sum of 1, or equal weights if their sum
// is not positive.
func normalisedWeights(document *configuration.Document) configuration.Weights {
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
		for _, assigned := range worker.AssignedTasks {
			c.internClass(assigned.Record.Spec.Class)
		}
		for _, neighbour := range worker.Neighbours {
			c.internClass(neighbour.Class)
		}
	}
	for _, record := range c.snapshot.Pending {
		c.internClass(record.Spec.Class)
	}
	c.logSlowdown = make([][]float64, len(c.classIndexes))
	for class, index := range c.classIndexes {
		c.logSlowdown[index] = c.logSlowdownRow(class)
	}
}

func (c *cycle) internClass(class string) {
	if _, ok := c.classIndexes[class]; !ok {
		c.classIndexes[class] = len(c.classIndexes)
	}
}

func (c *cycle) logSlowdownRow(class string) []float64 {
	row := make([]float64, len(c.classIndexes))
	model := c.model()
	for neighbour, index := range c.classIndexes {
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
		classCounts: make([]int, len(c.classIndexes)), serviceClassCounts: make([]int, len(c.classIndexes)),
		logSlowdown: math.Log(c.model().Worker(worker.Name, c.snapshot.Now).Slowdown),
	}
	for _, assigned := range worker.AssignedTasks {
		c.addAssignedTask(n, assigned.Record)
	}
	for _, neighbour := range worker.Neighbours {
		n.free = n.free.Sub(neighbour.Size)
		n.expectedUse = n.expectedUse.Add(neighbour.Size)
		n.countTask(c.classIndexes[neighbour.Class], neighbour.Kind, 1)
	}
	if worker.HasFreeLimit {
		n.free = minQuantity(n.free, worker.FreeLimit)
	}
	c.nodes = append(c.nodes, n)
	if n.inService {
		c.totalCapacity = c.totalCapacity.Add(worker.Capacity)
		c.zoneCapacityMilliCPU[n.Zone] += worker.Capacity.MilliCPU
	}
	c.zoneUseMilliCPU[n.Zone] += n.expectedUse.MilliCPU
}

func (c *cycle) addAssignedTask(n *node, record *task.Record) {
	spec := &record.Spec
	n.free = n.free.Sub(spec.Size)
	n.expectedUse = n.expectedUse.Add(c.expectedUse(n, spec))
	n.countTask(c.classIndexes[spec.Class], spec.Kind, 1)
	if record.State == task.StateEvicting || record.State == task.StateCancelling {
		n.terminating = n.terminating.Add(spec.Size)
		c.addTeamTerminating(record)
		n.terminatingUse = n.terminatingUse.Add(c.expectedUse(n, spec))
	}
	c.addGroup(spreadGroup(spec), n, 1)
}

// expectedUse returns the declared size corrected by the observed use, limited to the capacity of the
// worker.
func (c *cycle) expectedUse(n *node, spec *task.Spec) resource.Quantity {
	return minQuantity(c.snapshot.Sizes.ExpectedUse(spec.Team, spec.Class, spec.Size), n.Capacity)
}

func (c *cycle) addGroup(group string, n *node, delta int) {
	if group == "" {
		return
	}
	c.groupCounts[groupLocation{group, n.Zone, ""}] += delta
	c.groupCounts[groupLocation{group, n.Zone, n.Rack}] += delta
}

// addPlacement counts the task against the worker for the rest of the cycle.
func (c *cycle) addPlacement(t *candidate, n *node) {
	n.addTask(t)
	c.addGroup(t.group, n, 1)
	c.zoneUseMilliCPU[n.Zone] += t.expected.MilliCPU
}

// feasibleNodes returns the workers that pass every filter and counts the others in excluded by
// reason. The returned slice is reused by the next call.
func (c *cycle) feasibleNodes(t *candidate, excluded *reasonCounts) []*node {
	nodes := c.scratch[:0]
	for _, n := range c.nodes {
		reason := firstReason(placementFilters, t, n)
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
	return c.filterBySpread(t, nodes, excluded)
}
