package worker

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/runtime"
	"clementineflow/internal/runtime/httpruntime"
)

// ServeRuntime serves one call of the runtime's HTTP protocol.
func (r *Runtime) ServeRuntime(request *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(request.Path()), httpruntime.PathPrefix)
	if !ok || !request.IsPost() {
		request.Error("not found", fasthttp.StatusNotFound)
		return
	}
	switch name {
	case httpruntime.CallAttach:
		serve(request, func(ctx context.Context, _ httpruntime.SessionRequest) (runtime.Attachment, error) {
			return r.Attach(ctx)
		})
	case httpruntime.CallStart:
		serve(request, func(ctx context.Context, q runtime.StartRequest) (httpruntime.EmptyResponse, error) {
			return httpruntime.EmptyResponse{}, r.Start(ctx, q)
		})
	case httpruntime.CallRenew:
		serve(request, func(ctx context.Context, q httpruntime.RenewRequest) (httpruntime.EmptyResponse, error) {
			return httpruntime.EmptyResponse{}, r.Renew(ctx, q.Session, q.Lease, q.NotAfter)
		})
	case httpruntime.CallList:
		serve(request, func(ctx context.Context, q httpruntime.SessionRequest) (httpruntime.ListResponse, error) {
			tasks, err := r.List(ctx, q.Session)
			return httpruntime.ListResponse{Tasks: tasks}, err
		})
	default:
		r.serveAttempt(request, name)
	}
}

// serveAttempt serves the calls that concern a single attempt.
func (r *Runtime) serveAttempt(request *fasthttp.RequestCtx, name string) {
	switch name {
	case httpruntime.CallEvict:
		serve(request, func(ctx context.Context, q httpruntime.AttemptRequest) (httpruntime.EvictResponse, error) {
			checkpoint, err := r.Evict(ctx, q.Session, q.TaskID, q.Attempt)
			return httpruntime.EvictResponse{Checkpoint: checkpoint}, err
		})
	case httpruntime.CallStop:
		serve(request, func(ctx context.Context, q httpruntime.AttemptRequest) (httpruntime.EmptyResponse, error) {
			return httpruntime.EmptyResponse{}, r.Stop(ctx, q.Session, q.TaskID, q.Attempt)
		})
	case httpruntime.CallThrottle:
		serve(request, func(ctx context.Context, q httpruntime.ThrottleRequest) (httpruntime.EmptyResponse, error) {
			return httpruntime.EmptyResponse{}, r.Throttle(ctx, q.Session, q.TaskID, q.Permille)
		})
	case httpruntime.CallForget:
		serve(request, func(ctx context.Context, q httpruntime.AttemptRequest) (httpruntime.EmptyResponse, error) {
			return httpruntime.EmptyResponse{}, r.Forget(ctx, q.Session, q.TaskID, q.Attempt)
		})
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// serve decodes a request, calls handle and encodes the response or error.
func serve[Request, Response any](request *fasthttp.RequestCtx, handle func(context.Context, Request) (Response, error)) {
	var decoded Request
	if err := json.Unmarshal(request.PostBody(), &decoded); err != nil {
		writeJSON(request, fasthttp.StatusBadRequest, httpruntime.ErrorBody{Code: httpruntime.CodeUnavailable, Message: err.Error()})
		return
	}
	response, err := handle(request, decoded)
	switch {
	case err == nil:
		writeJSON(request, fasthttp.StatusOK, response)
	case errors.Is(err, runtime.ErrOutcomeUnknown):
		// Close the connection without a response, as if the runtime had crashed after the call took effect.
		request.HijackSetNoResponse(true)
		request.SetConnectionClose()
		_ = request.Conn().Close()
	default:
		writeJSON(request, fasthttp.StatusConflict, httpruntime.ErrorBody{Code: errorCode(err), Message: err.Error()})
	}
}

// errorCode returns the protocol's error code for err.
func errorCode(err error) string {
	switch {
	case errors.Is(err, runtime.ErrStaleSession):
		return httpruntime.CodeStaleSession
	case errors.Is(err, runtime.ErrNotFound):
		return httpruntime.CodeNotFound
	case errors.Is(err, runtime.ErrTooLate):
		return httpruntime.CodeTooLate
	case errors.Is(err, runtime.ErrConflict):
		return httpruntime.CodeConflict
	default:
		return httpruntime.CodeUnavailable
	}
}

// writeJSON writes a response with a JSON body.
func writeJSON[Body any](request *fasthttp.RequestCtx, status int, body Body) {
	encoded, err := json.Marshal(body)
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetStatusCode(status)
	request.SetContentType("application/json")
	request.SetBody(encoded)
}
