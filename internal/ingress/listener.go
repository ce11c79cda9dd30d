package ingress

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Ingress holds the limits and the budget that the listeners of a process share.
type Ingress struct {
	limits Limits
	budget *Budget
	logger *log.Logger
}

// New returns the ingress of a process with the limits.
func New(limits Limits, logger *log.Logger) *Ingress {
	logger.Info("limits of incoming connections", "budget_bytes", limits.Bytes, "connections", limits.Conns)
	return &Ingress{limits: limits, budget: NewBudget(limits.Bytes), logger: logger}
}

// Listen opens a TCP listener whose connections have a small receive buffer, since bytes that the kernel has received
// and the process has not read count as memory of the process. The buffer is set before the listener is opened, so
// that it also applies to connections that are not accepted yet.
func Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), network, address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// ListenerConfig says what a listener may hold.
type ListenerConfig struct {
	// Name is the label of the listener's metrics.
	Name string
	// Share is the part of the budget and of the connections that the listener may hold, in sixteenths. A flood of one
	// listener thus takes nothing from the others.
	Share int
	// HoldsLinks is set if connections become links, which keep their memory while they are open.
	HoldsLinks bool
	// HoldsCalls is set if connections serve many calls at a time, such as those of gRPC. They keep their memory like
	// links, and none is closed in favor of another one.
	HoldsCalls bool
	// AnyConns is set if connections are not counted in the budget. They are not bounded either, unless MaxConns is set.
	AnyConns bool
	// MaxConns bounds the connections that are not counted in the budget, if it is not zero.
	MaxConns int
	// ConnBytes is the memory of a connection beyond that of plain HTTP with headers of 16 KiB, such as that of TLS.
	ConnBytes int64
	// OpaqueBodies is set if bodies are passed on without being decoded.
	OpaqueBodies bool
	// Explain adds headers and a body to the response to a refused request, if it is not nil.
	Explain func(*fasthttp.Response)
}

// Listener bounds the open connections of a listener. Connections above the bound wait for room for a short time, and are
// closed at once if there has been none.
type Listener struct {
	net.Listener
	budget *Budget
	// unidentified is the part of the budget for messages of peers that have not identified themselves.
	unidentified *Budget
	meter        *meter
	config       ListenerConfig
	// bound is the largest number of open connections.
	bound int64
	// connBytes is reserved while a connection is open.
	connBytes int64
	open      atomic.Int64
	// fullSince is when a connection first found no room, or zero if the latest one found some. Only Accept uses it.
	fullSince time.Time
	waiting   waitingConns
	// turn holds the request that waits for memory before all others.
	turn  chan struct{}
	rates *rateLimits
	// unavailable is the response on a connection that there is no memory to read a request from.
	unavailable []byte
}

// Bound returns a listener that accepts the connections of inner within the limits.
func (i *Ingress) Bound(inner net.Listener, config ListenerConfig) *Listener {
	limits := i.limits.share(config.Share)
	budget := i.budget.Part(limits.Bytes)
	l := &Listener{
		Listener: inner, budget: budget, unidentified: budget.Part(limits.Bytes / unidentifiedDivisor), config: config,
		meter: newMeter(config.Name, budget, i.logger), bound: int64(limits.boundOf(&config)),
		connBytes: idleConnBytes + config.ConnBytes, unavailable: unavailableResponse(config.Explain),
		turn: make(chan struct{}, 1), rates: newRateLimits(limits.Processors),
	}
	if config.HoldsCalls {
		l.connBytes += activeConnBytes
	}
	return l
}

// CountsConns reports whether connections are counted in the budget.
func (l *Listener) CountsConns() bool { return !l.config.AnyConns }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.rates.awaitAccept()
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.admit(inner); accepted != nil {
			return accepted, nil
		}
		// The error is ignored: the connection has ended in either case.
		_ = inner.Close()
	}
}

// admit returns the connection with its reservation, or nil if it is above the bound or the budget.
func (l *Listener) admit(inner net.Conn) *conn {
	c := &conn{Conn: inner, listener: l}
	if !l.awaitRoom(func() bool { return l.open.Load() < l.bound }) {
		l.meter.refuse(reasonConns)
		return nil
	}
	if l.CountsConns() {
		c.account = l.NewAccount()
		if !l.awaitRoom(func() bool { return c.account.tryReserve(l.connBytes) }) {
			l.meter.refuse(reasonMemory)
			return nil
		}
		if !l.config.HoldsCalls {
			l.waiting.add(c, nil)
		}
	}
	l.open.Add(1)
	l.meter.open.Inc()
	return c
}

// NewAccount returns an account for reservations on behalf of this listener.
func (l *Listener) NewAccount() *Account { return &Account{budget: l.budget, meter: l.meter} }

// NewUnidentifiedAccount returns an account for messages of a peer that has not identified itself.
func (l *Listener) NewUnidentifiedAccount() *Account {
	return &Account{budget: l.unidentified, meter: l.meter}
}
