package process

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs one certificate for the address of this test process that all processes of a test use.
type authority struct {
	certificate, key, ca []byte
	pair                 tls.Certificate
	pool                 *x509.CertPool
	section              string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	caKey, caCertificate, caDER := sign(t, nil, nil)
	key, _, der := sign(t, caCertificate, caKey)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{
		certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		ca:          pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: caDER}),
		pool:        x509.NewCertPool(),
	}
	a.pool.AddCert(caCertificate)
	if a.pair, err = tls.X509KeyPair(a.certificate, a.key); err != nil {
		t.Fatal(err)
	}
	return a
}

// sign returns a key with its certificate; without a parent it is a CA.
func sign(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "clementineflow test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return key, certificate, der
}

// settings returns the section of a settings file. The PEM files are written once: a process that reads
// one while it is written again would not start.
func (a *authority) settings(t *testing.T, directory string) string {
	t.Helper()
	if a.section != "" {
		return a.section
	}
	path := func(name string, data []byte) string {
		full := filepath.Join(directory, name)
		if err := os.WriteFile(full, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return full
	}
	a.section = fmt.Sprintf("tls: {certificate: %q, key: %q, client_ca: %q}\n",
		path("certificate.pem", a.certificate), path("key.pem", a.key), path("ca.pem", a.ca))
	return a.section
}

func (a *authority) client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.pair}, RootCAs: a.pool, ServerName: host}
}

// server returns a configuration for gRPC that requires a client certificate.
func (a *authority) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.pair}, ClientCAs: a.pool,
		ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"},
	}
}
