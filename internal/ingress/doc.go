// Package ingress bounds what callers can make a process do: it limits the open connections of each listener, reserves
// memory from one budget before it buffers what callers send, sets deadlines for slow senders and for responses that are
// not read, and limits the rates of connections and requests, so that callers take only a part of the processor.
package ingress
