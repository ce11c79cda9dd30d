// Package wire defines the messages between the system's processes and their CBOR encoding.
package wire

// Kind identifies the type of a message on the wire. Values are part of the protocol and never reused.
type Kind uint8

// Message kinds.
const (
	KindHello         Kind = 1
	KindWelcome       Kind = 2
	KindHeartbeat     Kind = 3
	KindHeartbeatAck  Kind = 4
	KindConfiguration Kind = 5
	KindRequest       Kind = 6
	KindRequestReply  Kind = 7
	KindQuery         Kind = 8
	KindQueryReply    Kind = 9
	KindCancel        Kind = 10
	KindStartTask     Kind = 11
	KindEvictTask     Kind = 12
	KindStopTask      Kind = 13
	KindTaskEvent     Kind = 14
	KindAckTaskEvent  Kind = 15
	KindUsage         Kind = 16
	KindLeaving       Kind = 17
	KindAckQuery      Kind = 18
	KindAckReply      Kind = 19
	// Messages to and from the coordinator about multi-step jobs.
	KindCoordinatorHello Kind = 20
	KindAgentReport      Kind = 21
	KindAgentPing        Kind = 22
	KindPingReply        Kind = 23
	KindStartRun         Kind = 24
	KindStopRun          Kind = 25
	KindRunEnded         Kind = 26
	KindRunAbsent        Kind = 27
	KindConfirmEnds      Kind = 28
	KindJobQuery         Kind = 29
	KindJobReply         Kind = 30
	KindQueueQuery       Kind = 31
	KindQueueReply       Kind = 32
	KindRunProgress      Kind = 33
	KindPeerPing         Kind = 34
	// Store calls that one entry makes on behalf of another.
	KindStoreCall  Kind = 35
	KindStoreReply Kind = 36
	// KindInputNotice tells the coordinator of a record that an entry has stored.
	KindInputNotice Kind = 37
)

// Message is one message between two processes.
type Message interface {
	// Kind returns the message's kind on the wire.
	Kind() Kind
}
