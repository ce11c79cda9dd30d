package frontend

import (
	"net"
	"syscall"
	"time"
)

// goneInterval is the time between two looks at a caller's connection while its request is in progress.
const goneInterval = 50 * time.Millisecond

// await waits for done and returns true, or returns false when the caller has closed its connection.
// The HTTP server does not read from the connection while a handler runs, so that it does not notice.
func await(done <-chan struct{}, conn net.Conn) bool {
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if callerGone(conn) {
				return false
			}
		}
	}
}

// callerGone reports whether the other side has closed the connection, without consuming any bytes.
// Connections that are no sockets are taken for open.
func callerGone(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn() // TLS
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = peekClosed(int(fd)) })
	return gone || err != nil
}

// peekClosed looks at the next byte of a socket without blocking.
func peekClosed(fd int) bool {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	default:
		return true
	}
}
