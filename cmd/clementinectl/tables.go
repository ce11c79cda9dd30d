package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/settings"
)

// milliPerProcessor is the number of milli processors in a processor.
const milliPerProcessor = 1000

const bytesPerGigabyte = 1e9

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return strings.ReplaceAll(strings.ReplaceAll(text, "\t", " "), "\n", " ")
}

func joined(items []string) string { return dash(strings.Join(items, ",")) }

func number[T int32 | uint32 | uint64 | int](value T) string { return fmt.Sprintf("%d", value) }

func timestamp(at *timestamppb.Timestamp) string {
	if at == nil {
		return "-"
	}
	return at.AsTime().UTC().Format(time.RFC3339)
}

func duration(d *durationpb.Duration) string {
	if d == nil {
		return "-"
	}
	return d.AsDuration().String()
}

func processors(q *operatorv1.Quantity) string {
	return strconv.FormatFloat(float64(q.GetMilliCpu())/milliPerProcessor, 'f', -1, 64)
}

// memory returns the memory rounded to a tenth of a gigabyte; smaller amounts are exact.
func memory(q *operatorv1.Quantity) string {
	if q.GetMemoryBytes() < bytesPerGigabyte {
		return settings.FormatSize(q.GetMemoryBytes())
	}
	return strconv.FormatFloat(math.Round(float64(q.GetMemoryBytes())/bytesPerGigabyte*10)/10, 'f', -1, 64) + "GB"
}

func stateName(state operatorv1.TaskState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "TASK_STATE_"))
}

func kindName(kind operatorv1.TaskKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "TASK_KIND_"))
}

func priorityName(priority operatorv1.Priority) string {
	return strings.ToLower(strings.TrimPrefix(priority.String(), "PRIORITY_"))
}

func tasksTable(tasks ...*operatorv1.Task) table {
	rows := table{{"ID", "NAME", "KIND", "TEAM", "PRIORITY", "STATE", "ATTEMPT", "WORKER", "UPDATED", "REASON"}}
	for _, t := range tasks {
		spec := t.GetSpec()
		rows = append(rows, []string{
			t.GetId(), spec.GetName(), kindName(spec.GetKind()), spec.GetTeam(), priorityName(spec.GetPriority()),
			stateName(t.GetState()), number(t.GetAttempt()), dash(t.GetWorker()), timestamp(t.GetUpdatedAt()), dash(t.GetReason()),
		})
	}
	return rows
}

func decisionsTable(response *operatorv1.ExplainTaskResponse) table {
	rows := table{{"AT", "ACTION", "WORKER", "REASON", "EXCLUDED WORKERS"}}
	for _, d := range response.GetDecisions() {
		var filtered []string
		for _, f := range d.GetFiltered() {
			filtered = append(filtered, fmt.Sprintf("%s:%d", f.GetReason(), f.GetWorkers()))
		}
		rows = append(rows, []string{timestamp(d.GetAt()), d.GetAction(), dash(d.GetWorker()), dash(d.GetReason()), joined(filtered)})
	}
	return rows
}

func servicesTable(services ...*operatorv1.Service) table {
	rows := table{{"NAME", "TEAM", "CLASS", "REPLICAS", "PROCESSORS", "MEMORY", "TIMEOUT", "OBJECTIVE"}}
	for _, s := range services {
		rows = append(rows, []string{
			s.GetName(), s.GetTeam(), s.GetClass(), number(s.GetReplicas()), processors(s.GetSize()),
			memory(s.GetSize()), duration(s.GetTimeout()), duration(s.GetLatencyObjective()),
		})
	}
	return rows
}

func serviceState(outOfService bool) string {
	if outOfService {
		return "out"
	}
	return "in"
}

func zonesTable(zones []*operatorv1.ZoneStatus) table {
	rows := table{{"ZONE", "SERVICE", "WORKERS", "RUNNING", "REASON"}}
	for _, z := range zones {
		rows = append(rows, []string{
			z.GetZone().GetName(), serviceState(z.GetZone().GetOutOfService()), number(z.GetWorkers()),
			number(z.GetRunningTasks()), dash(z.GetZone().GetReason()),
		})
	}
	return rows
}

func changeTable(response *operatorv1.ChangeResponse) table {
	return propagationTable(response.GetPropagation())
}

func propagationTable(p *operatorv1.Propagation) table {
	return table{
		{"REVISION", "ENTRIES BEHIND", "WORKERS BEHIND", "NAMES"},
		{
			number(p.GetRevision()),
			fmt.Sprintf("%d/%d", len(p.GetEntriesBehind()), p.GetEntriesTotal()),
			fmt.Sprintf("%d/%d", len(p.GetWorkersBehind()), p.GetWorkersTotal()),
			joined(append(append([]string{}, p.GetEntriesBehind()...), p.GetWorkersBehind()...)),
		},
	}
}

func revisionsTable(revisions []*operatorv1.RevisionSummary) table {
	rows := table{{"REVISION", "AT", "AUTHOR", "SUMMARY"}}
	for _, r := range revisions {
		rows = append(rows, []string{number(r.GetRevision()), timestamp(r.GetAt()), dash(r.GetAuthor()), dash(r.GetSummary())})
	}
	return rows
}

func workersTable(workers []*operatorv1.Worker) table {
	rows := table{{"NAME", "ZONE", "RACK", "STATE", "REVISION", "PROCESSORS FREE", "MEMORY FREE", "TASKS", "TARGETS"}}
	for _, w := range workers {
		rows = append(rows, []string{
			w.GetName(), w.GetZone(), w.GetRack(), w.GetState(), number(w.GetRevision()),
			processors(w.GetFree()) + "/" + processors(w.GetCapacity()), memory(w.GetFree()) + "/" + memory(w.GetCapacity()),
			number(len(w.GetTasks())), number(len(w.GetTargets())),
		})
	}
	return rows
}

func entriesTable(entries []*operatorv1.Entry) table {
	rows := table{{"NAME", "OPERATOR ADDRESS", "REGISTERED", "REVISION", "SHARDS"}}
	for _, e := range entries {
		shards := make([]string, 0, len(e.GetShards()))
		for _, shard := range e.GetShards() {
			shards = append(shards, number(shard))
		}
		rows = append(rows, []string{
			e.GetName(), dash(e.GetOperatorAddress()), strconv.FormatBool(e.GetRegistered()), number(e.GetRevision()), joined(shards),
		})
	}
	return rows
}

// quotaText describes a quota, in which a zero component is no limit.
func quotaText(q *operatorv1.Quantity) string {
	var limits []string
	if q.GetMilliCpu() > 0 {
		limits = append(limits, processors(q)+" processors")
	}
	if q.GetMemoryBytes() > 0 {
		limits = append(limits, memory(q))
	}
	if q.GetAccelerators() > 0 {
		limits = append(limits, fmt.Sprintf("%d accelerators", q.GetAccelerators()))
	}
	if len(limits) == 0 {
		return "no quota"
	}
	return "quota " + strings.Join(limits, ", ")
}

func requestLimit(perSecond int32) string {
	if perSecond == 0 {
		return "no request limit"
	}
	return fmt.Sprintf("%d requests/s", perSecond)
}

func configurationTable(c *operatorv1.Configuration) table {
	rows := table{{"KIND", "NAME", "SETTINGS"}}
	rows = append(rows, []string{"revision", number(c.GetRevision()), "region " + c.GetRegion()})
	for _, name := range c.GetEntries() {
		rows = append(rows, []string{"entry", name, "-"})
	}
	for _, z := range c.GetZones() {
		rows = append(rows, []string{"zone", z.GetName(), serviceState(z.GetOutOfService())})
	}
	for _, t := range c.GetTeams() {
		rows = append(rows, []string{"team", t.GetName(), fmt.Sprintf("weight %d, %s, %s",
			t.GetWeight(), quotaText(t.GetQuota()), requestLimit(t.GetRequestsPerSecond()))})
	}
	for _, s := range c.GetServices() {
		rows = append(rows, []string{"service", s.GetName(), fmt.Sprintf("team %s, class %s, %d replicas, timeout %s",
			s.GetTeam(), s.GetClass(), s.GetReplicas(), duration(s.GetTimeout()))})
	}
	w := c.GetWeights()
	return append(rows, []string{"weights", "-", fmt.Sprintf("tail latency %g, throughput %g, evictions %g, zone work %g",
		w.GetTailLatency(), w.GetThroughput(), w.GetEvictions(), w.GetZoneWork())})
}
