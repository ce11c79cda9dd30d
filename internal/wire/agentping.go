package wire

// AgentPing asks the coordinator to extend the agent's authority to renew the lease of its runs.
type AgentPing struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*AgentPing) Kind() Kind { return KindAgentPing }

// PingReply extends the agent's authority. The extension is counted from the time the ping was sent.
type PingReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*PingReply) Kind() Kind { return KindPingReply }
