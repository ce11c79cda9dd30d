package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// weakLink is limits.linkMbps of a weak entry.
	weakLink = 10
	// reloadTraffic is how long submissions come at most, one each reloadGap, and reloadBytes the length of the list of progress
	// at which they end. At weakLink it takes 1.4 s.
	reloadTraffic = 72 * time.Second
	reloadBytes   = 1_750_000
	reloadGap     = 20 * time.Millisecond
	// cancelShare is the share of the submissions that are cancelled.
	cancelShare = 0.4
	// reloadRest is how long the installation is left alone after the loss of the strong entries.
	reloadRest = 26 * time.Second
	// standsStill is the time from the last run of a task that lasts after which it must run again: the 6 s of the rule, the
	// contactMs (4 s), 4 s and 3 s of calm after the loss.
	standsStill = 17 * time.Second
)

// playReload keeps a submission that lasts at work beside the usual traffic, then loses the strong entries.
func playReload(d *deployment, trouble bool) (verdict, error) {
	watch := d.submit(d.queues[2], "last", step{Count: len(d.workers), CPU: 1000, Memory: 500, Perpetual: true, MaxPerServer: 1})
	for deadline := time.Now().Add(15 * time.Second); d.started(watch.id) < len(d.workers); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return verdict{}, fmt.Errorf("the first submission has not begun")
		}
	}
	began := time.Now()
	var group sync.WaitGroup
	handed := 0
	for ticker := time.NewTicker(reloadGap); time.Since(began) < reloadTraffic; <-ticker.C {
		if handed%50 == 0 {
			if _, bytes := d.store.size("out/"); bytes >= reloadBytes {
				break
			}
		}
		handed++
		group.Go(func() {
			s := d.submit(d.queues[rand.IntN(2)], "ms=20", step{Count: 20, CPU: 300, Memory: 200, Estimate: 20},
				step{Count: 20, CPU: 300, Memory: 200, Estimate: 20, After: []int{0}})
			if s.accepted > 0 && rand.Float64() < cancelShare {
				d.cancel(s, d.entries[rand.IntN(len(d.entries))])
			}
		})
	}
	group.Wait()
	strong, weak := d.entries[:len(d.entries)/2], d.entries[len(d.entries)-1]
	keys, bytes := d.store.size("out/")
	d.journal.add("%d submissions came; the store's list of out/ has %d items and %d bytes", handed, keys, bytes)
	if bytes < reloadBytes {
		return verdict{}, fmt.Errorf("only %d bytes of progress came together", bytes)
	}
	if trouble {
		for _, p := range strong {
			p.kill()
		}
		d.journal.add("the strong entries are lost for good")
	}
	time.Sleep(reloadRest - 6*time.Second)
	last := d.submitAt(weak, d.queues[0], "ms=200", step{Count: 2, CPU: 300, Memory: 200, Estimate: 200})
	time.Sleep(6 * time.Second)
	_, state := d.state(last, weak)
	at := map[string]time.Duration{}
	running := map[string]bool{}
	for _, e := range d.journal.events() {
		if strings.HasPrefix(e.task, watch.id+".") && e.kind != "stop call" {
			running[e.task], at[e.task] = e.kind == "start", e.at
		}
	}
	missing, longest := 0, time.Duration(0)
	for task, runs := range running {
		if still := d.journal.now() - at[task]; !runs {
			longest = max(longest, still)
			if still > standsStill {
				missing++
			}
		}
	}
	return verdict{broken: missing > 0, text: fmt.Sprintf(
		"%d submissions; %d of %d tasks that last stand still, for up to %s; a submission that was accepted 6 s ago (%t) is %q",
		handed, missing, len(d.workers), longest.Round(100*time.Millisecond), last.accepted > 0, state)}, nil
}

// link is a machine's link of a bandwidth that all connections through it share.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// take waits until the link has passed a number of bytes on.
func (l *link) take(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * 8 * time.Second / (weakLink * 1_000_000))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// narrow passes connections at an address on to another one over a link of weakLink.
func narrow(from, to string) error {
	listener, err := net.Listen("tcp4", from)
	if err != nil {
		return err
	}
	up, down := &link{}, &link{}
	pass := func(to, from net.Conn, l *link) {
		buffer := make([]byte, 8<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				l.take(n)
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					break
				}
			}
			if err == io.EOF || err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			opened, err := net.Dial("tcp4", to)
			if err != nil {
				_ = accepted.Close()
				continue
			}
			go pass(opened, accepted, up)
			go pass(accepted, opened, down)
		}
	}()
	return nil
}
