package experiment

import (
	"math/rand/v2"
	"slices"
)

// plainRequests chooses at random or by the fewest outstanding requests of the entry, without
// admission, queue, feedback or ejection.
type plainRequests struct {
	*run
	random      *rand.Rand
	outstanding [][]int // by entry and worker
	pool        []int
}

func newPlainRequests(r *run) *plainRequests {
	p := &plainRequests{run: r, random: rand.New(rand.NewPCG(r.seed, 5))}
	for range r.document.Entries {
		p.outstanding = append(p.outstanding, make([]int, len(r.workers)))
	}
	return p
}

func (p *plainRequests) update() {}

func (p *plainRequests) arrive(fl *flight) { p.choose(fl) }

func (p *plainRequests) choose(fl *flight) {
	p.pool = p.pool[:0]
	for index, w := range p.workers {
		if w.reported.replicas > 0 && p.document.ZoneInService(w.zone) && !slices.Contains(fl.tried, w.name) {
			p.pool = append(p.pool, index)
		}
	}
	if len(p.pool) == 0 || len(fl.tried) >= maxAttempts {
		return
	}
	index := p.pool[p.random.IntN(len(p.pool))]
	if p.variant.Requests == LeastOutstanding {
		for _, other := range p.pool {
			if p.outstanding[fl.entry][other] < p.outstanding[fl.entry][index] {
				index = other
			}
		}
	}
	p.outstanding[fl.entry][index]++
	p.send(fl, p.workers[index])
}

func (p *plainRequests) done(fl *flight, w *worker) {
	p.outstanding[fl.entry][slices.Index(p.workers, w)]--
}

func (p *plainRequests) refused(fl *flight, w *worker) {
	p.done(fl, w)
	p.choose(fl)
}

func (p *plainRequests) answered(fl *flight, w *worker, _ bool) { p.done(fl, w) }
