package entry

import (
	"math/rand/v2"
	"time"

	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/standin/worker"
)

// fault is a randomly chosen fault; end undoes what begin did.
type fault struct {
	name       string
	duration   time.Duration
	begin, end func()
}

// drawFault chooses a random fault, its target and its duration.
func drawFault(c *cluster, random *rand.Rand) fault {
	m := c.members[random.IntN(len(c.members))]
	v := c.vms[random.IntN(len(c.vms))]
	// A third of the faults last longer than every lease.
	duration := time.Duration(200+random.IntN(4000)) * time.Millisecond
	if random.IntN(3) == 0 {
		duration = time.Duration(8000+random.IntN(12000)) * time.Millisecond
	}
	f := fault{duration: duration, begin: func() {}, end: func() {}}
	switch random.IntN(13) {
	case 0:
		f.name = "entry replaced " + m.name
		f.begin = func() { c.stopEntry(m) }
		f.end = func() { c.startEntry(m) }
	case 1:
		f.name = "entry replaced at once " + m.name
		f.begin = func() { c.stopEntry(m); c.startEntry(m) }
	case 2:
		f.name = "entry paused " + m.name
		paused := m.process
		f.begin = func() { paused.setPaused(true) }
		f.end = func() { paused.setPaused(false) }
	case 3:
		f = storeFault(f, m, random)
	case 4:
		f.name = "store down"
		f.begin = func() { c.setStores(kvstore.Faults{Down: true}) }
		f.end = func() { c.setStores(kvstore.Faults{}) }
	case 5:
		f = cutFault(c, f, m, random)
	case 6:
		f.name = "parted"
		f = cutPaths(c, f, c.drawPartition(random))
	case 7:
		f.name = "agent replaced " + v.name
		f.begin = func() { c.stopAgent(v) }
		f.end = func() { c.startAgent(v) }
	case 8:
		f.name = "agent paused " + v.name
		paused := v.process
		f.begin = func() { paused.setPaused(true) }
		f.end = func() { paused.setPaused(false) }
	case 9:
		f.name = "agent cut off " + v.name
		var paths []path
		direction := random.IntN(3)
		for _, each := range c.members {
			paths = append(paths, directions(v.name, each.name, direction)...)
		}
		f = cutPaths(c, f, paths)
	case 10:
		f.name = "VM replaced " + v.name
		f.begin = func() { c.stopVM(v) }
		f.end = func() { c.startVM(v) }
	case 11:
		f = runtimeFault(f, v, random)
	default:
		f.name = "links dropped and dials refused " + m.name
		f.begin = func() { c.network.dropLinks(m.name); c.network.adjustRefusals(m.name, 1) }
		f.end = func() { c.network.adjustRefusals(m.name, -1) }
	}
	return f
}

func (c *cluster) setStores(faults kvstore.Faults) {
	for _, m := range c.members {
		m.store.SetFaults(faults)
	}
}

// storeFault chooses a random fault of the store that affects a single entry.
func storeFault(f fault, m *member, random *rand.Rand) fault {
	faults := []kvstore.Faults{
		{Down: true},
		{DelayMillis: 300},
		{DelayMillis: 700},
		{LoseAnswerPercent: 40},
		{LateWrites: 3, LateWriteMillis: 1500},
		{MissEventPercent: 60, RepeatEventPercent: 30},
		{EndWatches: true},
	}[random.IntN(7)]
	f.name = "store fault " + m.name
	f.begin = func() { m.store.SetFaults(faults) }
	f.end = func() { m.store.SetFaults(kvstore.Faults{}) }
	return f
}

// runtimeFault chooses a random fault of one worker runtime.
func runtimeFault(f fault, v *vm, random *rand.Rand) fault {
	faults := []worker.Faults{
		{Unavailable: true}, {LoseAnswers: true}, {FailStarts: true}, {CallDelayMillis: 900}, {CallDelayMillis: 3000},
	}[random.IntN(5)]
	f.name = "runtime fault " + v.name
	set := func(next worker.Faults) {
		v.faults = next
		v.runtime.SetFaults(next)
	}
	f.begin = func() { set(faults) }
	f.end = func() { set(worker.Faults{}) }
	return f
}

// cutFault cuts an entry off from its peers, or from some workers.
func cutFault(c *cluster, f fault, m *member, random *rand.Rand) fault {
	var paths []path
	direction := random.IntN(3)
	if random.IntN(2) == 0 {
		f.name = "entry cut off from peers " + m.name
		for _, other := range c.members {
			if other != m {
				paths = append(paths, directions(m.name, other.name, direction)...)
			}
		}
		return cutPaths(c, f, paths)
	}
	f.name = "entry cut off from workers " + m.name
	for _, v := range c.vms {
		if random.IntN(2) == 0 {
			paths = append(paths, directions(m.name, v.name, direction)...)
		}
	}
	return cutPaths(c, f, paths)
}

// drawPartition splits the processes randomly into two groups and returns the paths between the groups.
func (c *cluster) drawPartition(random *rand.Rand) []path {
	var groups [2][]string
	for _, m := range c.members {
		group := random.IntN(2)
		groups[group] = append(groups[group], m.name)
	}
	for _, v := range c.vms {
		group := random.IntN(2)
		groups[group] = append(groups[group], v.name)
	}
	var paths []path
	for _, a := range groups[0] {
		for _, b := range groups[1] {
			paths = append(paths, path{a, b}, path{b, a})
		}
	}
	return paths
}

// directions returns the paths between two processes: 0 is from a to b, 1 from b to a, 2 both.
func directions(a, b string, direction int) []path {
	return [][]path{{{a, b}}, {{b, a}}, {{a, b}, {b, a}}}[direction]
}

// cutPaths sets the fault to cut the paths from begin to end.
func cutPaths(c *cluster, f fault, paths []path) fault {
	f.begin = func() {
		for _, p := range paths {
			c.network.adjustCuts(p, 1)
		}
	}
	f.end = func() {
		for _, p := range paths {
			c.network.adjustCuts(p, -1)
		}
	}
	return f
}
