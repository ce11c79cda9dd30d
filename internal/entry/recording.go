package entry

import (
	"context"
	"time"

	"clementineflow/internal/fleet"
	"clementineflow/internal/frontend"
	"clementineflow/internal/replay"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// recordInterval is the period at which workers, configuration and store state are polled for the trace.
const recordInterval = time.Second

// recordingHandler implements fleet.Handler by recording the workers' messages. It is registered only
// if the settings name a trace file.
type recordingHandler struct {
	recorder *replay.Recorder
}

// WorkerConnected implements fleet.Handler.
func (r recordingHandler) WorkerConnected(view fleet.View) {
	r.recorder.Record(replay.Line{WorkerJoined: &replay.WorkerJoined{
		Name: view.Name, Zone: view.Zone, Rack: view.Rack, Boot: view.Session.BootID, Session: view.Session.Number,
		Capacity: view.Capacity, Targets: replayTargets(view.Targets),
	}})
}

// WorkerDisconnected implements fleet.Handler.
func (r recordingHandler) WorkerDisconnected(worker, _ string) {
	r.recorder.Record(replay.Line{LinkLost: &replay.WorkerName{Name: worker}})
}

// RequestReply implements fleet.Handler.
func (r recordingHandler) RequestReply(worker string, reply *wire.RequestReply) {
	if recorded := replay.RecordedReply(worker, reply); recorded.Outcome != "" {
		r.recorder.Record(replay.Line{Reply: recorded})
	}
}

// QueryReply implements fleet.Handler.
func (r recordingHandler) QueryReply(worker string, reply *wire.QueryReply) {
	for index := range reply.Replies {
		r.RequestReply(worker, &reply.Replies[index])
	}
}

// HandleTaskEvent implements fleet.Handler.
func (r recordingHandler) HandleTaskEvent(worker string, event *wire.TaskEvent) {
	if recorded := replay.RecordedReport(worker, event); recorded.Event != "" {
		r.recorder.Record(replay.Line{Report: recorded})
	}
}

// HandleUsage implements fleet.Handler.
func (r recordingHandler) HandleUsage(worker string, usage *wire.Usage) {
	r.recorder.Record(replay.Line{Usage: replay.RecordedUsage(worker, usage)})
}

// replayTargets converts target states to the trace format.
func replayTargets(states []wire.TargetState) []replay.Target {
	targets := make([]replay.Target, 0, len(states))
	for _, state := range states {
		targets = append(targets, replay.Target{
			Service: state.Service, Slots: state.Slots, Connections: state.Connections,
			SlotsUsed: state.SlotsUsed, Leaving: state.Leaving,
		})
	}
	return targets
}

// requestRecorder returns the function that records callers' requests, or nil if recording is disabled.
func (e *Entry) requestRecorder() func(frontend.Arrival) {
	if e.config.Recorder == nil {
		return nil
	}
	return e.recordRequest
}

// recordRequest records a caller's request.
func (e *Entry) recordRequest(arrival frontend.Arrival) {
	e.config.Recorder.Record(replay.Line{Request: &replay.Request{
		ID: arrival.ID, Service: arrival.Service, Team: arrival.Team, Caller: arrival.Caller,
		Priority: arrival.Priority.String(), Timeout: replay.Duration(arrival.Timeout), Idempotent: arrival.Idempotent,
	}})
}

// recordSubmission records a submitted specification. A specification that the trace format cannot represent
// is skipped, since the decoder would reject the whole trace.
func (t operatorTasks) recordSubmission(spec *task.Spec) {
	if t.recorder != nil && (spec.Kind == task.KindBatch || spec.Kind == task.KindWatch) && spec.Size.Validate() == nil {
		t.recorder.Record(replay.Line{Submit: replay.RecordedSubmission(spec)})
	}
}

// recordState polls and records heartbeats of connected workers, configuration changes and changes of the
// store's reachability until the context ends.
func (e *Entry) recordState(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	revision, storeUp := uint64(0), true
	for {
		if reachable := e.member.StoreReachable(); reachable != storeUp {
			storeUp = reachable
			e.config.Recorder.Record(replay.Line{Store: &replay.Store{Up: storeUp}})
		}
		if document := e.follower.Document(); document != nil && document.Revision != revision {
			revision = document.Revision
			e.config.Recorder.Record(replay.Line{Configuration: document})
		}
		for _, view := range e.hub.Views() {
			if view.Connected {
				e.config.Recorder.Record(replay.Line{Heartbeat: &replay.Heartbeat{
					Worker: view.Name, Free: view.Free, Targets: replayTargets(view.Targets), Leaving: view.Leaving,
				}})
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
