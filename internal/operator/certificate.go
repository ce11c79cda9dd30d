package operator

import (
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
)

// certificateName returns the common name of the verified client certificate, empty without TLS.
func certificateName(client *peer.Peer) string {
	info, ok := client.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return ""
	}
	return info.State.PeerCertificates[0].Subject.CommonName
}
