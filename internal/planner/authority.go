package planner

import "time"

// InheritAuthorities sets when the authorities that earlier terms have given to agents end at the latest. Without it,
// those of all agents count from the start of the term.
func (p *Planner) InheritAuthorities(ends map[string]time.Duration) { p.inherited = ends }

// inheritedAuthority returns when the authority that earlier terms have given to an agent ends at the latest.
func (p *Planner) inheritedAuthority(name string) time.Duration {
	longest := p.termStart + p.timing.Authority + p.timing.Margin
	if end, ok := p.inherited[name]; ok {
		return min(end, longest)
	}
	return longest
}

// AuthorityEnds returns when the authority of each agent ends at the latest, counting the pings that were acknowledged on
// links whose end was handled.
func (p *Planner) AuthorityEnds() map[string]time.Duration {
	ends := make(map[string]time.Duration, len(p.agents))
	for name, end := range p.inherited {
		if end > p.now {
			ends[name] = end
		}
	}
	for name, a := range p.agents {
		ends[name] = max(a.authorityEnds, p.inheritedAuthority(name))
	}
	return ends
}

// HandleDisconnect marks an agent as disconnected. lastReply is when the coordinator last acknowledged a ping of the
// agent on the link, or zero; the lease of the worker can be valid for the authority period and the clock margin after
// that.
func (p *Planner) HandleDisconnect(name string, lastReply time.Duration) {
	a := p.agents[name]
	if a == nil || !a.connected {
		return
	}
	a.connected = false
	a.authorityEnds = max(a.authorityEnds, p.inheritedAuthority(name))
	if lastReply > 0 {
		a.authorityEnds = max(a.authorityEnds, lastReply+p.timing.Authority+p.timing.Margin)
	}
	p.log("agent disconnected", "agent", name, "assigned", len(p.runsByIncarnation[a.incarnation]), "tasks_move_in_ms", (a.authorityEnds - p.now).Milliseconds())
}
