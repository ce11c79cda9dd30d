package telemetry

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Errors of loading TLS files and of verifying a server certificate.
var (
	// ErrNoCertificates reports a CA file without a certificate.
	ErrNoCertificates = errors.New("telemetry: CA file holds no certificate")
	// ErrNoServerCertificate reports a server that sent no certificate.
	ErrNoServerCertificate = errors.New("telemetry: server sent no certificate")
	// ErrNoServerName reports a connection without a name to verify the certificate against.
	ErrNoServerName = errors.New("telemetry: no server name to verify")
)

var reloadErrors = metrics.NewCounter("clementine_tls_reload_errors_total")

// Files holds the paths of the PEM files of one process.
type Files struct {
	Certificate string
	Key         string
	// CA is the file with the CA certificates that the peer's certificate is verified against.
	CA string
}

// keyMaterial holds the parsed content of the files.
type keyMaterial struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// fileStamp identifies the version of a file by its modification time and size.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Certificates holds the parsed files and reloads them after they are replaced. It is safe for concurrent
// use.
type Certificates struct {
	files  Files
	mutex  sync.Mutex
	stamps [3]fileStamp
	loaded keyMaterial
}

// LoadCertificates reads the files. It returns an error if one of them cannot be used.
func LoadCertificates(files Files) (*Certificates, error) {
	c := &Certificates{files: files}
	stamps, err := c.readFileStamps()
	if err != nil {
		return nil, err
	}
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	c.stamps, c.loaded = stamps, loaded
	return c, nil
}

func (f Files) read() (keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return keyMaterial{}, errors.Wrapf(err, "load certificate %s and key %s", f.Certificate, f.Key)
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return keyMaterial{}, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return keyMaterial{}, errors.Wrap(ErrNoCertificates, f.CA)
	}
	return keyMaterial{certificate: &certificate, pool: pool}, nil
}

func (c *Certificates) readFileStamps() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, path := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "TLS file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// currentMaterial returns the key material and reloads it first if a file was replaced. If the files cannot
// be loaded, for example because the certificate was replaced before its key, the previous material stays in
// use and the next connection tries again.
func (c *Certificates) currentMaterial() keyMaterial {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stamps, err := c.readFileStamps()
	if err != nil {
		reloadErrors.Inc()
		return c.loaded
	}
	if stamps == c.stamps {
		return c.loaded
	}
	loaded, err := c.files.read()
	if err != nil {
		reloadErrors.Inc()
		return c.loaded
	}
	c.stamps, c.loaded = stamps, loaded
	return c.loaded
}

// Server returns a configuration that requires client certificates signed by the CA. Each new
// connection uses the current files. protocols lists ALPN names, such as "h2" for gRPC.
func (c *Certificates) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := c.currentMaterial()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*loaded.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    loaded.pool,
			}, nil
		},
	}
}

// Client returns a configuration for connections to a server whose certificate is signed by the CA
// and names serverName, a host name or an IP address. If serverName is empty, the dialled
// host name is used; this fails for a dialled IP address, because TLS does not send it. Each new connection
// uses the current files.
func (c *Certificates) Client(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.currentMaterial().certificate, nil
		},
		// crypto/tls verifies servers against a fixed CA pool. VerifyConnection verifies against the
		// current CA file instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verifyServer(state, cmp.Or(serverName, state.ServerName))
		},
	}
}

func (c *Certificates) verifyServer(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoServerCertificate
	}
	if name == "" {
		return ErrNoServerName
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: name, Roots: c.currentMaterial().pool, Intermediates: intermediates,
	})
	return err
}
