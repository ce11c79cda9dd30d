package planner

import (
	"testing"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/wire"
)

// FuzzAgentMessages guards against a malformed agent message or stored record that panics the planner and so
// ends the coordinator's term. Valid jobs must still be served afterwards.
func FuzzAgentMessages(f *testing.F) {
	for _, message := range []wire.Message{
		testReport(0),
		&wire.RunEnded{WorkerID: "w-agent-0", Incarnation: 1, Ends: []wire.EndRow{{Number: 1, Task: "good.0.0.0", Run: 1, Outcome: 1}}},
		&wire.RunAbsent{WorkerID: "w-agent-0", Incarnation: 1, Task: "good.0.0.1", Run: 1},
		&wire.RunProgress{WorkerID: "w-agent-0", Incarnation: 1, Runs: []wire.RunRow{{Task: "good.0.0.0", Run: 1, ProgressPercent: 255}}},
	} {
		frame, err := wire.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame, []byte{0xa0})
	}
	f.Fuzz(func(t *testing.T, frame, record []byte) {
		p := newTestPlanner(2)
		addJob(p, "good", "q", job.Step{Count: 2})
		commit(p)
		if progress, err := job.DecodeProgress(record); err == nil {
			p.AddJob(&job.Spec{ID: "stored", Queue: "q", Service: "pool", Steps: []job.Step{
				{Count: 1, Need: resource.Quantity{MilliCPU: 100}},
			}}, progress, 1, 0)
		}
		if message, err := wire.Decode(frame); err == nil {
			deliverMessage(p, message)
		}
		p.Advance(p.now + time.Second)
		p.Tick()
		commit(p)
		addJob(p, "next", "urgent", job.Step{Count: 1, Need: resource.Quantity{MilliCPU: 1}})
		commit(p)
		if _, ok := p.Task("next.0.0.0"); !ok {
			t.Fatal("the next job is not known")
		}
	})
}

// deliverMessage passes a message of an agent to the planner, as the coordinator does.
func deliverMessage(p *Planner, message wire.Message) {
	switch message := message.(type) {
	case *wire.AgentReport:
		message.Agent = agentName(0)
		p.HandleReport(message)
	case *wire.RunEnded:
		p.HandleRunsEnded(agentName(0), message)
	case *wire.RunAbsent:
		p.HandleRunAbsent(agentName(0), message)
	case *wire.RunProgress:
		p.HandleRunProgress(agentName(0), message)
	}
}
