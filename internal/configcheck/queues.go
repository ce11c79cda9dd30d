package configcheck

import (
	"math"
	"net"
	"strings"

	"clementineflow/internal/job"
)

// Queue is a queue of the operator's document.
type Queue struct {
	Path string
	Line int
	// Host and Prefix select the queue for a call.
	Name, Host, Prefix, Service Field[string]
	Priority, MaxAttempts       Field[int64]
	SlackFactor                 Field[float64]
	// Objective and Timeout are in milliseconds.
	Objective, Timeout Field[int64]
}

// Service is a pool of workers of the operator's document.
type Service struct {
	Path        string
	Line        int
	Name        Field[string]
	Standby     Field[bool]
	Connections Field[int64]
}

// Limits are the limits of calls in the operator's document.
type Limits struct {
	HeaderBytes, BodyBytes Field[int64]
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout, IdleTimeout Field[int64]
}

// QueueDocument is the operator's document.
type QueueDocument struct {
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Check reports entries that can never match and limits that contradict each other.
func (d *QueueDocument) Check(r *Report) {
	services := d.checkServices(r)
	named := map[string]bool{}
	names, routes := map[string]int{}, map[[2]string]int{}
	for i := range d.Queues {
		q := &d.Queues[i]
		checkName(r, q.Name, q.Line, names)
		q.checkMatch(r, routes)
		q.checkService(r, services)
		q.checkOrder(r)
		q.checkObjective(r)
		named[q.Service.Value] = true
	}
	for i := range d.Services {
		if s := &d.Services[i]; s.Name.Value != "" && !named[s.Name.Value] {
			r.Warnf(s.Line, s.Path, "no queue names this service, so it gets no jobs")
		}
	}
	d.Limits.check(r)
}

// checkName reports a missing name, and one that an earlier entry has. seen holds the lines of the names.
func checkName(r *Report, name Field[string], line int, seen map[string]int) {
	if name.Value == "" {
		r.Errorf(line, name.Path, "no name")
		return
	}
	if first, repeated := seen[name.Value]; repeated {
		name.Errorf(r, "%q is the name of the entry on line %d too; the settings of the last one apply to both", name.Value, first)
		return
	}
	seen[name.Value] = line
}

func (d *QueueDocument) checkServices(r *Report) map[string]*Service {
	services, names := map[string]*Service{}, map[string]int{}
	for i := range d.Services {
		s := &d.Services[i]
		checkName(r, s.Name, s.Line, names)
		services[s.Name.Value] = s
		if s.Connections.Set && s.Connections.Value < 0 {
			s.Connections.Errorf(r, "%s %d is negative", s.Connections.Key, s.Connections.Value)
		}
	}
	return services
}

// checkMatch reports a queue that no call can reach. Of the queues with the longest matching prefix, the first one is chosen.
func (q *Queue) checkMatch(r *Report, routes map[[2]string]int) {
	host, prefix := q.Host.Value, q.Prefix.Value
	if host == "" {
		r.Errorf(q.Line, q.Host.Path, "no host, so no call reaches the queue")
		return
	}
	if _, _, err := net.SplitHostPort(host); err == nil {
		q.Host.Errorf(r, "%q has a port; calls are compared without one, so none reaches the queue", host)
	}
	if prefix != "" && !strings.HasPrefix(prefix, "/") {
		q.Prefix.Errorf(r, "%q does not begin with /, so no call reaches the queue", prefix)
	}
	route := [2]string{host, prefix}
	if first, taken := routes[route]; taken {
		r.Errorf(q.Line, q.Path, "behind the queue on line %d with the same host and prefix, so no call reaches it", first)
		return
	}
	routes[route] = q.Line
}

func (q *Queue) checkService(r *Report, services map[string]*Service) {
	service, known := services[q.Service.Value]
	switch {
	case q.Service.Value == "":
		r.Errorf(q.Line, q.Service.Path, "no service, so the queue's jobs never start")
	case !known:
		q.Service.Errorf(r, "%q is not one of the document's services", q.Service.Value)
	case service.Standby.Value:
		q.Service.Warnf(r, "%q is on standby (line %d), so the queue's jobs wait", q.Service.Value, service.Standby.Line)
	}
}

// checkOrder reports priorities and attempts that are not in force as written.
func (q *Queue) checkOrder(r *Report) {
	switch p := q.Priority; {
	case p.Value < 0:
		p.Warnf(r, "%s %d is before 0, the highest one", p.Key, p.Value)
	case p.Value >= math.MaxInt32:
		p.Warnf(r, "%s %d leaves no number for a queue behind this one", p.Key, p.Value)
	}
	if a := q.MaxAttempts; a.Set && a.Value < 1 {
		a.Errorf(r, "%s %d is below 1; 1 is in force", a.Key, a.Value)
	}
}

// checkObjective reports objectives that no job can meet, or that have no effect.
func (q *Queue) checkObjective(r *Report) {
	slack, objective, timeout := q.SlackFactor, q.Objective, q.Timeout
	switch {
	case slack.Value < 0:
		slack.Errorf(r, "%s %g is negative", slack.Key, slack.Value)
	case slack.Value == 0 && objective.Value > 0:
		objective.Warnf(r, "no effect, because %s is 0 or missing", slack.Key)
	case slack.Value > 0 && slack.Value < 1:
		slack.Warnf(r, "%s %g is below 1: a job with long steps misses its objective even without a wait", slack.Key, slack.Value)
	}
	for _, field := range []Field[int64]{objective, timeout} {
		if field.Value < 0 {
			field.Errorf(r, "%s is negative", milliseconds(field))
		}
	}
	if timeout.Set && timeout.Value > 0 && objective.Value > timeout.Value {
		objective.Warnf(r, "%s is longer than %s (line %d)", milliseconds(objective), milliseconds(timeout), timeout.Line)
	}
}

func (l *Limits) check(r *Report) {
	for _, field := range []Field[int64]{l.HeaderBytes, l.BodyBytes, l.HeaderTimeout, l.IdleTimeout} {
		if field.Set && field.Value <= 0 {
			field.Errorf(r, "%s %d is not positive", field.Key, field.Value)
		}
	}
	if b := l.BodyBytes; b.Value > 0 && b.Value <= job.MaxPayloadBytes {
		b.Errorf(r, "%s %d has no room for a job with a payload of %d bytes", b.Key, b.Value, job.MaxPayloadBytes)
	}
	if h, i := l.HeaderTimeout, l.IdleTimeout; i.Value > 0 && h.Value > i.Value {
		h.Warnf(r, "%s is longer than %s (line %d), which ends the connection first", milliseconds(h), milliseconds(i), i.Line)
	}
}
