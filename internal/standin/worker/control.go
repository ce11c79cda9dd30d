package worker

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Paths of the control port.
const (
	// PathRuntime returns a RuntimeState.
	PathRuntime = "/v1/runtime"
	// PathTarget returns a TargetState.
	PathTarget = "/v1/target"
	// PathFaults takes Faults.
	PathFaults = "/v1/faults"
	// PathSettings takes TargetSettings.
	PathSettings = "/v1/settings"
)

// ServeControl serves the control port: the ground truth on GET, faults and settings on PUT.
func ServeControl(r *Runtime, t *Target) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		switch string(request.Method()) + " " + string(request.Path()) {
		case "GET " + PathRuntime:
			writeJSON(request, fasthttp.StatusOK, r.State())
		case "GET " + PathTarget:
			writeJSON(request, fasthttp.StatusOK, t.State())
		case "PUT " + PathFaults:
			put(request, r.SetFaults)
		case "PUT " + PathSettings:
			put(request, t.SetSettings)
		default:
			request.Error("not found", fasthttp.StatusNotFound)
		}
	}
}

// put decodes the body and passes it on.
func put[Body any](request *fasthttp.RequestCtx, set func(Body)) {
	var body Body
	if err := json.Unmarshal(request.PostBody(), &body); err != nil {
		request.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(body)
	request.SetStatusCode(fasthttp.StatusNoContent)
}
