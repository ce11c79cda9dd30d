package process

import (
	"bytes"
	"crypto/tls"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"
)

// direction is a direction of a relayed connection.
type direction int

const (
	// toServer is from the process that dialled.
	toServer direction = iota
	toDialler
)

// pollInterval is how often a silenced direction looks whether it may forward again.
const pollInterval = 20 * time.Millisecond

// relay forwards TCP connections to a server and can stop forwarding while the sockets stay open.
type relay struct {
	address  string
	server   string
	listener net.Listener

	mutex  sync.Mutex
	silent func(dialler string, way direction) bool
	conns  []net.Conn
	// opened counts the connections; those up to the number silentUntil are silent in one direction.
	opened      int
	silentUntil int
	silentWay   direction
	closed      bool
}

// newRelay listens on a free address, with TLS if an authority is given.
func newRelay(t *testing.T, server string, a *authority) *relay {
	t.Helper()
	r := &relay{address: freeAddress(t), server: server}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	if a != nil {
		listener = tls.NewListener(listener, a.server())
	}
	r.listener = listener
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// silence stops forwarding where the function returns true; nil forwards everything. The dialler's
// name is empty until its Hello was seen, and on connections that are not links.
func (r *relay) silence(silent func(dialler string, way direction) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.silent = silent
}

// silenceOpen stops forwarding in one direction for good on the connections that are open now.
func (r *relay) silenceOpen(way direction) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.silentUntil, r.silentWay = r.opened, way
}

func (r *relay) isSilent(number int, dialler string, way direction) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if number <= r.silentUntil && way == r.silentWay {
		return !r.closed
	}
	return r.silent != nil && r.silent(dialler, way)
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(conn net.Conn) {
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		conn.Close()
		return
	}
	r.mutex.Lock()
	r.conns = append(r.conns, conn, server)
	r.opened++
	number := r.opened
	r.mutex.Unlock()
	dialler := &diallerName{}
	go r.forward(number, conn, server, dialler, toServer)
	r.forward(number, server, conn, dialler, toDialler)
}

// forward copies one direction. Bytes that were read when the direction became silent are held back
// and so is the end of the stream, as by a network that has lost the connection.
func (r *relay) forward(number int, from, to net.Conn, dialler *diallerName, way direction) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if way == toServer {
			dialler.observe(buffer[:n])
		}
		for r.isSilent(number, dialler.get(), way) {
			time.Sleep(pollInterval)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.silence(nil)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for _, conn := range r.conns {
		conn.Close()
	}
}

// maxHelloBytes bounds the bytes in which a Hello is looked for.
const maxHelloBytes = 16 << 10

var namePattern = regexp.MustCompile(`entry-\d|(burnaby|surrey)-\d`)

// diallerName is the name in the Hello of a link. A WebSocket client masks its frames, so the first
// frame is unmasked before the name is looked for.
type diallerName struct {
	mutex sync.Mutex
	seen  []byte
	name  string
}

func (d *diallerName) get() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.name
}

func (d *diallerName) observe(data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.name != "" || len(d.seen) > maxHelloBytes {
		return
	}
	d.seen = append(d.seen, data...)
	_, frame, found := bytes.Cut(d.seen, []byte("\r\n\r\n"))
	if !found || len(frame) < 2 {
		return
	}
	header := 2
	switch frame[1] & 0x7f {
	case 126:
		header = 4
	case 127:
		header = 10
	}
	if len(frame) < header+4 {
		return
	}
	mask, payload := frame[header:header+4], bytes.Clone(frame[header+4:])
	for i := range payload {
		payload[i] ^= mask[i%4]
	}
	d.name = string(namePattern.Find(payload))
}
