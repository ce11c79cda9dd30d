// Package flood plays callers that violate the limits of a process: many connections that send more than they may or
// never complete a request.
package flood

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// Conns is the number of connections of a flood.
	Conns = 1500
	// writeTimeout bounds a write on a connection that the process doesn't read.
	writeTimeout = 20 * time.Second
	// hold is how long the connections stay open after the last of them has sent its first bytes.
	hold = time.Second
	// dripInterval is the time between two slow writes of a connection.
	dripInterval = 100 * time.Millisecond
	// sampleInterval is the time between two counts of the descriptors of the process.
	sampleInterval = 5 * time.Millisecond
)

// Flood is what each connection of a flood sends: First as fast as possible, then Drip again and again.
type Flood struct {
	First, Drip string
}

// send opens a connection and sends until the process closes it or the flood ends.
func (f Flood) send(address string, sent *sync.WaitGroup, ended <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", address, writeTimeout)
	if err == nil {
		defer func() { _ = conn.Close() }()
		if err = conn.SetDeadline(time.Now().Add(writeTimeout)); err == nil {
			_, err = conn.Write([]byte(f.First))
		}
	}
	sent.Done()
	for err == nil {
		select {
		case <-ended:
			return
		case <-time.After(dripInterval):
			_, err = conn.Write([]byte(f.Drip))
		}
	}
}

// Run opens the connections and returns the largest number of descriptors that the process had open. It returns
// after all connections are closed.
func (f Flood) Run(address string, pid int) (peakFiles int) {
	var sent, closed sync.WaitGroup
	ended := make(chan struct{})
	sent.Add(Conns)
	for range Conns {
		closed.Go(func() { f.send(address, &sent, ended) })
	}
	closed.Go(func() {
		sent.Wait()
		time.Sleep(hold)
		close(ended)
	})
	for {
		// A process that has ended has no descriptors.
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		peakFiles = max(peakFiles, len(files))
		select {
		case <-ended:
			closed.Wait()
			return peakFiles
		case <-time.After(sampleInterval):
		}
	}
}

// PeakMemory returns the largest resident memory that a process has had, in bytes. It fails if the process has ended.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(line, &kilobytes); err != nil {
		return 0, err
	}
	return kilobytes << 10, nil
}

// AnnouncedBody returns a flood of requests whose body of an announced length is sent but for a slow rest. The head is
// that of the request, without the empty line that ends it.
func AnnouncedBody(head string, length int) Flood {
	const slowBytes = 1000
	return Flood{
		First: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + strings.Repeat(" ", length-slowBytes), Drip: " ",
	}
}

// ChunkedBody returns a flood of requests with bodies of unknown length: nearly 1 MiB, and more without an end.
func ChunkedBody(head string) Flood {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat(" ", 1<<16))
	return Flood{First: head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 15), Drip: "1\r\n \r\n"}
}

// EndlessHeaders returns a flood of requests with headers of a length, and more without an end.
func EndlessHeaders(head string, length int) Flood {
	return Flood{First: head + "X-Padding: " + strings.Repeat("x", length) + "\r\n", Drip: "X-Padding: x\r\n"}
}

// LinkFrame returns a flood of links at a path whose first frame has a length. The frame is sent but for a slow rest.
func LinkFrame(path string, length, sent int) Flood {
	upgrade := "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	// A binary frame with a length of 64 bits and a mask of zeros, which leaves the payload unchanged.
	frame := []byte{0x82, 0xff, 0, 0, 0, 0, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length), 0, 0, 0, 0}
	return Flood{First: upgrade + string(frame) + strings.Repeat(" ", sent), Drip: strings.Repeat(" ", 100)}
}
