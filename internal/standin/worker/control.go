package worker

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Paths of the control port.
const (
	// PathRuntime returns a RuntimeState as JSON.
	PathRuntime = "/v1/runtime"
	// PathTarget returns a TargetState as JSON.
	PathTarget = "/v1/target"
	// PathFaults accepts Faults as JSON and replaces the current ones.
	PathFaults = "/v1/faults"
	// PathSettings accepts TargetSettings as JSON and replaces the current ones.
	PathSettings = "/v1/settings"
)

// ServeControl returns the handler of the control port. GET returns the recorded state of the runtime
// or the target; PUT replaces the faults or the target's settings.
func ServeControl(r *Runtime, t *Target) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		switch string(request.Method()) + " " + string(request.Path()) {
		case "GET " + PathRuntime:
			writeJSON(request, fasthttp.StatusOK, r.State())
		case "GET " + PathTarget:
			writeJSON(request, fasthttp.StatusOK, t.State())
		case "PUT " + PathFaults:
			handlePut(request, r.SetFaults)
		case "PUT " + PathSettings:
			handlePut(request, t.SetSettings)
		default:
			request.Error("not found", fasthttp.StatusNotFound)
		}
	}
}

// handlePut decodes the JSON body and passes it to set.
func handlePut[Body any](request *fasthttp.RequestCtx, set func(Body)) {
	var body Body
	if err := json.Unmarshal(request.PostBody(), &body); err != nil {
		request.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(body)
	request.SetStatusCode(fasthttp.StatusNoContent)
}
