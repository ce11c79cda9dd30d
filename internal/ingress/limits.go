package ingress

import "math"

// Limits that are derived from those of the process.
const (
	// budgetDivisor makes the budget a quarter of the memory limit. The Go runtime's soft memory limit is 0.7 of
	// it, and up to half of the budget is memory of the kernel, which the runtime doesn't count.
	budgetDivisor = 4
	// fallbackBudget is the budget of a process whose memory limit is not known.
	fallbackBudget = 64 << 20
	// fallbackFiles is the descriptor limit of a process whose limit is not known.
	fallbackFiles = 4096
	// reservedFiles are descriptors that are not available for connections.
	reservedFiles = 200
	// unidentifiedDivisor makes the part for peers that have not identified themselves a quarter of a listener's budget,
	// so that they can't take the memory for frames of the others.
	unidentifiedDivisor = 4
	// wholeShare is the sum of the shares of all listeners of a process.
	wholeShare = 16
	// minListenerConns is the smallest bound of a listener.
	minListenerConns = 16
)

// Memory of one connection in bytes.
const (
	// idleConnBytes is held while a connection is open: read buffer (16 KiB), request context, stack of its
	// goroutine (8 KiB) and the kernel's socket.
	idleConnBytes = 28 << 10
	// activeConnBytes is held in addition while a request is read and answered: headers (16 KiB), prefetched body
	// (8 KiB), write buffer (4 KiB) and the kernel's receive buffer (twice receiveBufferBytes).
	activeConnBytes = 60 << 10
	// receiveBufferBytes is the receive buffer that a listener asks for. The kernel doubles it. With 8 KiB, a body
	// of 256 KiB took twice as long on loopback as with the kernel's default.
	receiveBufferBytes = 16 << 10
)

// Limits bound what the connections of a process hold.
type Limits struct {
	// Bytes is the budget.
	Bytes int64
	// Conns is the number of open connections of all listeners.
	Conns int
	// Processors is the share of a processor for which rates of connections and requests are limited. With zero they are not.
	Processors float64
}

// DeriveLimits returns the limits for a process with a memory limit in bytes and a descriptor limit; zero means that
// the limit is not known. Open connections get at most three quarters of the budget, and of the descriptors, which
// outgoing connections use as well.
func DeriveLimits(memoryBytes int64, files int) Limits {
	limits := Limits{Bytes: memoryBytes / budgetDivisor}
	if memoryBytes <= 0 {
		limits.Bytes = fallbackBudget
	}
	if files <= 0 {
		files = fallbackFiles
	}
	byMemory := limits.Bytes * 3 / 4 / idleConnBytes
	limits.Conns = min(int(byMemory), connsOfFiles(files))
	return limits
}

// share returns the part of the limits for a listener with a share in sixteenths.
func (l Limits) share(sixteenths int) Limits {
	return Limits{
		Bytes:      l.Bytes * int64(sixteenths) / wholeShare,
		Conns:      max(minListenerConns, l.Conns*sixteenths/wholeShare),
		Processors: l.Processors * float64(sixteenths) / wholeShare,
	}
}

// boundOf returns the largest number of open connections of a listener whose limits are l.
func (l Limits) boundOf(config *ListenerConfig) int {
	switch {
	case config.AnyConns && config.MaxConns > 0:
		return config.MaxConns
	case config.AnyConns:
		return math.MaxInt
	case config.HoldsLinks || config.HoldsCalls:
		return l.heldConns(idleConnBytes + activeConnBytes + config.ConnBytes)
	case config.ConnBytes > 0:
		return max(minListenerConns, min(l.Conns, int(l.Bytes*3/4/(idleConnBytes+config.ConnBytes))))
	default:
		return l.Conns
	}
}

// heldConns returns the number of connections that keep their memory for requests while they are open. They get half
// of the bytes, so that the rest is left for frames and messages.
func (l Limits) heldConns(connBytes int64) int {
	return max(minListenerConns, min(l.Conns, int(l.Bytes/2/connBytes)))
}

// FileConns returns the number of open connections of a listener with a share in sixteenths, if only the descriptor
// limit of the process is known.
func FileConns(files, sixteenths int) int {
	return max(minListenerConns, connsOfFiles(files)*sixteenths/wholeShare)
}

// connsOfFiles returns the number of open connections of all listeners of a process with a descriptor limit.
func connsOfFiles(files int) int { return max(0, files-reservedFiles) * 3 / 4 }
