package process

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/frontend"
	"clementineflow/internal/link"
	"clementineflow/internal/standin/flood"
)

// Limits in the settings of an entry under a flood.
const (
	floodMemoryMiB = 128
	floodOpenFiles = 1024
)

// withoutLimits leaves the limits out of the settings of the entries. Each flood must then fail.
var withoutLimits = flag.Bool("flood-without-limits", false, "run the floods without limits in the settings")

// testFlood runs a flood on an entry and checks its limits, and that ordinary requests of a caller, an agent and an
// operator are answered afterwards.
func testFlood(t *testing.T, f flood.Flood, address func(*entryNode) string) {
	c := newFloodCluster(t)
	e := c.entries[0]
	c.checkLimits(f.Run(address(e), e.command.Process.Pid))
}

// newFloodCluster starts an entry with limits and a worker.
func newFloodCluster(t *testing.T) *cluster {
	c := newCluster(t)
	if !*withoutLimits {
		c.limits = fmt.Sprintf("limits: {memory: %dMiB, openFiles: %d}\n", floodMemoryMiB, floodOpenFiles)
	}
	c.addEntry("entry-1", zoneBurnaby)
	c.addWorker("burnaby-1", zoneBurnaby)
	c.configure()
	c.waitLive(1)
	c.waitAnswered()
	return c
}

// checkLimits checks that the entry has stayed within its limits, with the largest number of its descriptors, and that ordinary
// requests are answered.
func (c *cluster) checkLimits(files int) {
	t := c.t
	memory, err := flood.PeakMemory(c.entries[0].command.Process.Pid)
	if err != nil {
		t.Fatalf("the entry is gone: %s", err)
	}
	t.Logf("peak resident memory %d MiB, %d descriptors", memory>>20, files)
	if memory >= floodMemoryMiB<<20 {
		t.Errorf("peak resident memory is %d MiB, limits.memory is %d MiB", memory>>20, floodMemoryMiB)
	}
	if files >= floodOpenFiles {
		t.Errorf("%d descriptors were open, limits.openFiles is %d", files, floodOpenFiles)
	}
	c.waitLive(1)
	c.waitAnswered()
}

func callersOf(e *entryNode) string   { return e.callers }
func linksOf(e *entryNode) string     { return e.links }
func operatorsOf(e *entryNode) string { return e.operators }

// callHead is the start of a caller's request.
const callHead = "POST /v1/services/" + service + "/request/check HTTP/1.1\r\nHost: h\r\n"

// TestFloodOfCallers guards against an entry that holds the bodies and headers of too many callers.
func TestFloodOfCallers(t *testing.T) {
	for name, f := range map[string]flood.Flood{
		"announced far over the limit": flood.AnnouncedBody(callHead, frontend.MaxBodyBytes+1<<19),
		"at the limit":                 flood.AnnouncedBody(callHead, frontend.MaxBodyBytes),
		"chunked":                      flood.ChunkedBody(callHead),
		"headers":                      flood.EndlessHeaders(callHead, 15<<10),
	} {
		t.Run(name, func(t *testing.T) { testFlood(t, f, callersOf) })
	}
}

// TestFloodOfLinks guards against an entry that holds too many links, or the first frames of peers that have not
// identified themselves.
func TestFloodOfLinks(t *testing.T) {
	head := "GET " + link.Path + " HTTP/1.1\r\nHost: h\r\n"
	for name, f := range map[string]flood.Flood{
		"headers": flood.EndlessHeaders(head, 3<<10),
		// More of each frame would exhaust the budget for first frames, and the entry would close some of the links.
		"frames": flood.LinkFrame(link.Path, 1<<20, 1<<10),
	} {
		t.Run(name, func(t *testing.T) { testFlood(t, f, linksOf) })
	}
}

// TestFloodOfOperators guards against an entry that holds too many connections of operators, or the messages of too
// many calls.
func TestFloodOfOperators(t *testing.T) {
	t.Run("connections", func(t *testing.T) {
		// The rest of the preface is never sent.
		testFlood(t, flood.Flood{First: http2.ClientPreface[:len(http2.ClientPreface)-1]}, operatorsOf)
	})
	t.Run("messages", func(t *testing.T) { testFlood(t, messageFlood(t), operatorsOf) })
}

// Calls of operators with messages that are many times as large once they are decoded.
const (
	emptyMessages      = 500_000
	emptyMessageCalls  = 16
	emptyMessageCaller = 4
)

// TestFloodOfEmptyMessages guards against an entry that holds operators' messages of very many empty messages: each has two
// bytes, and some hundred once it is decoded.
func TestFloodOfEmptyMessages(t *testing.T) {
	c := newFloodCluster(t)
	request := &operatorv1.ApplyConfigurationRequest{RequestId: "r", Configuration: &operatorv1.Configuration{}}
	for range emptyMessages {
		request.Configuration.Services = append(request.Configuration.Services, &operatorv1.Service{})
	}
	var callers sync.WaitGroup
	for range emptyMessageCaller {
		callers.Go(func() {
			for range emptyMessageCalls {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				_, err := c.entries[0].client.ApplyConfiguration(ctx, request)
				cancel()
				if err == nil {
					t.Error("a configuration of unnamed services was accepted")
				}
			}
		})
	}
	callers.Wait()
	c.checkLimits(0)
}

// messageFlood returns a flood of calls whose messages of 1 MiB stay incomplete. What is sent of each of them fits in
// the window of its stream.
func messageFlood(t *testing.T) flood.Flood {
	const calls, announced, sent, frameBytes = 16, 1 << 20, 60 << 10, 10 << 10
	var first, headers bytes.Buffer
	first.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&first, nil)
	check := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	check(framer.WriteSettings())
	for _, field := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", operatorv1.OperatorService_ListWorkers_FullMethodName},
		{":authority", "h"},
		{"content-type", "application/grpc"},
	} {
		check(hpack.NewEncoder(&headers).WriteField(hpack.HeaderField{Name: field[0], Value: field[1], Sensitive: true}))
	}
	// The message is not compressed.
	body := append([]byte{0}, binary.BigEndian.AppendUint32(nil, announced)...)
	body = append(body, make([]byte, sent-len(body))...)
	for id := uint32(1); id < 2*calls; id += 2 {
		check(framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headers.Bytes(), EndHeaders: true}))
		for part := body; len(part) > 0; part = part[frameBytes:] {
			check(framer.WriteData(id, false, part[:frameBytes]))
		}
	}
	end := first.Len()
	check(framer.WritePing(false, [8]byte{}))
	return flood.Flood{First: string(first.Bytes()[:end]), Drip: string(first.Bytes()[end:])}
}
