package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target. While it is cut, new connections get no answer, as behind a partition.
type proxy struct {
	target string
	record *record

	mu       sync.Mutex
	cutUntil time.Time
	// holdLeave delays a leave call by this time, with all bytes of its connection.
	holdLeave time.Duration
}

func newProxy(record *record, address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, record: record}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// cut cuts the path for the time. A leave call that is sent meanwhile arrives after holdLeave.
func (p *proxy) cut(forTime, holdLeave time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutUntil, p.holdLeave = time.Now().Add(forTime), holdLeave
}

func (p *proxy) forward(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, 64<<10)
	n, err := conn.Read(buffer)
	if err != nil {
		return
	}
	p.mu.Lock()
	cut, hold := time.Now().Before(p.cutUntil), p.holdLeave
	p.mu.Unlock()
	if cut {
		if !bytes.Contains(buffer[:min(n, 200)], []byte("/leave")) {
			// The caller's time limit ends first.
			p.record.add("network", "a call is lost in the cut: %s", firstLine(buffer[:n]))
			time.Sleep(3 * time.Second)
			return
		}
		p.record.add("network", "held up: %s", firstLine(buffer[:n]))
		time.Sleep(hold)
		p.record.add("network", "delivered after %d ms: %s", hold.Milliseconds(), firstLine(buffer[:n]))
	}
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(buffer[:n]); err != nil {
		return
	}
	go func() {
		copyBytes(to, conn)
	}()
	copyBytes(conn, to)
}

func copyBytes(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	return string(line)
}
