package frontend

import (
	"net"
	"syscall"
	"time"
)

// connectionPollInterval is the time between two checks of a caller's connection while its request is in
// progress.
const connectionPollInterval = 50 * time.Millisecond

// waitForResult returns true when done is closed, or false when the caller has closed its connection. It
// polls the connection because the HTTP server does not read from it while a handler runs and so does not
// detect that it was closed.
func waitForResult(done <-chan struct{}, conn net.Conn) bool {
	ticker := time.NewTicker(connectionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if isClosedByPeer(conn) {
				return false
			}
		}
	}
}

// isClosedByPeer reports whether the peer has closed the connection, without consuming any bytes.
// Connections that are not sockets count as open.
func isClosedByPeer(conn net.Conn) bool {
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
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peekClosed(int(fd)) })
	return closed || err != nil
}

// peekClosed reports whether the peer has closed the socket. It peeks at the next byte without blocking.
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
