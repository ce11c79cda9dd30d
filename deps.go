//go:build deps

// Package deps keeps the agreed library versions in go.mod until each has its first user.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/fasthttp/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/google/uuid"
	_ "github.com/matryer/is"
	_ "github.com/pkg/errors"
	_ "github.com/sourcegraph/conc"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/goleak"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
