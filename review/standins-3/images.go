package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// servingImages are the programs that serve on every worker, fillingRate the submissions a second that fill beside them.
	servingImages = 20
	fillingRate   = 12
	fillingTime   = 90 * time.Second
	// fewImages is the number of images of what fills without the disruption.
	fewImages = 9
	// agentMemory is limits.memoryMb of an agent.
	agentMemory = 152
	// endsAllowed is the number of ends of a process in a day that makes its machine count, machinesAllowed a tenth of the machines.
	endsAllowed     = 3
	machinesAllowed = 2
)

// playImages keeps programs that serve at work on every worker and hands in short work that fills, each submission with an image
// of its own. Like the platform it kills an agent whose memory exceeds its limit, and starts it again.
func playImages(d *deployment, trouble bool) (verdict, error) {
	for i := range servingImages {
		s := d.submit(d.queues[2], "last", step{
			Count: len(d.agents), CPU: 200, Memory: 100, Perpetual: true, MaxPerServer: 1, Image: fmt.Sprintf("serve-%d", i), Target: 100,
		})
		if s.accepted == 0 {
			return verdict{}, fmt.Errorf("a submission was not accepted")
		}
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), fillingTime)
	defer cancel()
	var group sync.WaitGroup
	ends := make([]int, len(d.agents))
	most := make([]int, len(d.agents))
	for i, p := range d.agents {
		group.Go(func() { ends[i], most[i] = d.enforce(ctx, p, agentMemory) })
	}
	ticker := time.NewTicker(time.Second / fillingRate)
	defer ticker.Stop()
	handed := 0
	for ; ctx.Err() == nil; handed++ {
		image := fmt.Sprintf("fill-%d", handed)
		if !trouble {
			image = fmt.Sprintf("fill-%d", handed%fewImages)
		}
		group.Go(func() {
			d.submit(d.queues[0], "ms=500", step{
				Count: len(d.agents), CPU: 500, Memory: 100, Estimate: 500, MaxPerServer: 1, Image: image, Fills: true,
			})
		})
		<-ticker.C
	}
	group.Wait()
	machines, peak := 0, 0
	for i, p := range d.agents {
		d.journal.add("%s: %d ends for memory, at most %d MB", p.name, ends[i], most[i])
		if ends[i] >= endsAllowed {
			machines++
		}
		peak = max(peak, most[i])
	}
	return verdict{broken: machines >= machinesAllowed, text: fmt.Sprintf(
		"%d submissions that fill; on %d of %d machines the agent was over its %d MB three times or more; at most %d MB",
		handed, machines, len(d.agents)+len(d.entries), agentMemory, peak)}, nil
}

// enforce kills a process whose memory exceeds the limit and starts it again after a short delay, as the platform does.
func (d *deployment) enforce(ctx context.Context, p *process, limit int) (ends, most int) {
	for ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		used := p.memory()
		most = max(most, used)
		if used <= limit {
			continue
		}
		ends++
		d.journal.add("%s uses %d MB of %d and is killed", p.name, used, limit)
		p.kill()
		sleep(ctx, 300*time.Millisecond)
		if ctx.Err() == nil {
			_ = p.start()
		}
	}
	return ends, most
}

// memory returns the resident memory of the process in megabytes.
func (p *process) memory() int {
	p.mu.Lock()
	pid := 0
	if p.running != nil {
		pid = p.running.Process.Pid
	}
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(text)[0])
			return kilobytes / 1024
		}
	}
	return 0
}
