package link

import (
	"crypto/subtle"
	"sync/atomic"
)

// Token is a secret that the entries of a deployment share, so that they do for each other what no other peer may ask for.
// It is empty until it is known. It is safe for concurrent use. A nil token trusts every peer.
type Token struct {
	value atomic.Pointer[string]
}

// Set makes the secret known.
func (t *Token) Set(secret string) { t.value.Store(&secret) }

// Secret returns the secret, or "" if it is not known.
func (t *Token) Secret() string {
	if t == nil {
		return ""
	}
	if secret := t.value.Load(); secret != nil {
		return *secret
	}
	return ""
}

// Trusts reports whether a peer that has sent the secret is trusted: not while the own one is unknown.
func (t *Token) Trusts(secret string) bool {
	if t == nil {
		return true
	}
	own := t.Secret()
	return own != "" && subtle.ConstantTimeCompare([]byte(own), []byte(secret)) == 1
}
