package frontend

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"clementineflow/internal/ingress"
)

// retryAfterRefusal is when a caller may retry a request that there was no memory for. Requests in progress end within
// a few seconds.
const retryAfterRefusal = time.Second

// callerConnBytes is the memory of a caller's connection beyond what package ingress assumes: its read buffer and its
// headers are up to readBufferBytes, not 16 KiB.
const callerConnBytes = 2 * (readBufferBytes - 16<<10)

// ListenerConfig returns the limits of the callers' listener, except for its share.
func ListenerConfig() ingress.ListenerConfig {
	return ingress.ListenerConfig{
		Name: "callers", ConnBytes: callerConnBytes, OpaqueBodies: true, Explain: explainRefusal,
	}
}

// explainRefusal adds the typed error to the response to a request that was refused before the frontend got it.
func explainRefusal(response *fasthttp.Response) {
	failed := invalidRequest("the request is malformed or was not complete in time")
	switch response.StatusCode() {
	case fasthttp.StatusRequestEntityTooLarge:
		failed = bodyTooLarge()
	case fasthttp.StatusServiceUnavailable:
		failed = &failure{
			code: CodeOverloaded, message: "the entry has no memory left for the request", retryAfter: retryAfterRefusal,
		}
	}
	body, err := json.Marshal(failed.body())
	if err != nil {
		return
	}
	response.SetStatusCode(failed.status())
	response.Header.Set(headerOutcome, failed.outcome())
	response.Header.SetContentType("application/json; charset=utf-8")
	response.SetBody(body)
}
