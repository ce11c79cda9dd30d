package wire

// PeerPing keeps a link between two entries alive. The receiver sends it back without the token, unless StoreSuspect is set.
type PeerPing struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// StoreSuspect is a hint that the sender, or the entry that told it, has reason to doubt that the store answers. Earlier
	// versions ignore it.
	StoreSuspect bool `cbor:"2,keyasint,omitempty"`
	// Token is the secret that the entries share. A peer that has not sent it may only ask questions. Earlier versions don't
	// send it.
	Token string `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*PeerPing) Kind() Kind { return KindPeerPing }
