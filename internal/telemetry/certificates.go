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

// Errors of TLS files and of the verification of a server.
var (
	// ErrNoCertificates reports a CA file without a certificate.
	ErrNoCertificates = errors.New("telemetry: CA file holds no certificate")
	// ErrNoServerCertificate reports a server that sent no certificate.
	ErrNoServerCertificate = errors.New("telemetry: server sent no certificate")
	// ErrNoServerName reports a connection without a name to verify the certificate against.
	ErrNoServerName = errors.New("telemetry: no server name to verify")
)

var reloadErrors = metrics.NewCounter("clementine_tls_reload_errors_total")

// Files names the PEM files of one process.
type Files struct {
	Certificate string
	Key         string
	// CA signs the certificates of the other side.
	CA string
}

// material is what the files held at one time.
type material struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// stamp tells whether a file was replaced.
type stamp struct {
	modified time.Time
	size     int64
}

// Certificates holds the parsed files and reads them again when they were replaced. It is safe for
// concurrent use.
type Certificates struct {
	files  Files
	mutex  sync.Mutex
	stamps [3]stamp
	loaded material
}

// LoadCertificates reads the files. It returns an error if one of them cannot be used.
func LoadCertificates(files Files) (*Certificates, error) {
	c := &Certificates{files: files}
	stamps, err := c.readStamps()
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

func (f Files) read() (material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, errors.Wrapf(err, "load certificate %s and key %s", f.Certificate, f.Key)
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return material{}, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return material{}, errors.Wrap(ErrNoCertificates, f.CA)
	}
	return material{certificate: &certificate, pool: pool}, nil
}

func (c *Certificates) readStamps() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "TLS file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// current returns the material, read again if a file was replaced. Files that cannot be used, such as
// a certificate replaced before its key, leave the previous material in use until the next connection.
func (c *Certificates) current() material {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stamps, err := c.readStamps()
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
// connection uses the files as they are then. protocols lists ALPN names, such as "h2" for gRPC.
func (c *Certificates) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := c.current()
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
// and names serverName, a host name or an IP address. An empty serverName stands for the dialled host
// name; it does not work for a dialled IP address, which TLS does not send. Each new connection uses
// the files as they are then.
func (c *Certificates) Client(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
		// The library verifies against a fixed pool, so verification is done in VerifyConnection
		// against the pool of the files as they are now.
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
		DNSName: name, Roots: c.current().pool, Intermediates: intermediates,
	})
	return err
}
