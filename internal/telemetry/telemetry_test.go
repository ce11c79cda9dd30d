package telemetry

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp keeps one goroutine for the Date header, and one for idle workers that ends up to ten
		// seconds after the server.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(line)
}

// TestQueueNeverBlocks guards against a slow log output that blocks the process, and against lines that are
// dropped without being counted and reported.
func TestQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	logger, queue, err := NewLogger(LogConfig{Level: "info", Format: "json", QueueLines: 4, Output: output})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- queue.Run(ctx) }()
	before := droppedLines.Get()
	logged := make(chan struct{})
	go func() {
		for range 100 {
			logger.Info("placed", "worker", "w1")
		}
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocked on the output")
	}
	dropped := droppedLines.Get() - before
	is.True(dropped >= 95 && dropped <= 96) // 4 are queued, at most 1 is being written
	close(output.release)
	is.NoErr(queue.Flush(ctx))
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	is.Equal(strings.Count(output.String(), "placed"), int(100-dropped))
	reported := uint64(0)
	for _, match := range regexp.MustCompile(`"dropped_lines":(\d+)`).FindAllStringSubmatch(output.String(), -1) {
		count, _ := strconv.ParseUint(match[1], 10, 64)
		reported += count
	}
	is.Equal(reported, dropped) // the log reports every dropped line
	is.True(errors.Is(queue.Flush(context.Background()), ErrStopped))
}

// TestQueueDrainsOnStop guards against losing the log lines that are still queued when a process stops.
func TestQueueDrainsOnStop(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger, queue, err := NewLogger(LogConfig{Level: "warn", Format: "text", QueueLines: 100, Output: &output})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	for range 50 {
		logger.Warn("last")
		logger.Info("below the level")
	}
	cancel()
	_ = queue.Run(ctx)
	is.Equal(strings.Count(output.String(), "last"), 50)
	is.True(!strings.Contains(output.String(), "below"))
}

func BenchmarkLogLine(b *testing.B) {
	for _, format := range []string{"text", "json"} {
		b.Run(format, func(b *testing.B) {
			logger, queue, _ := NewLogger(LogConfig{Level: "info", Format: format, QueueLines: 1 << 16, Output: io.Discard})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- queue.Run(ctx) }()
			before := droppedLines.Get()
			b.ReportAllocs()
			for b.Loop() {
				logger.Info("request routed", "service", "filter-tracking", "worker", "worker-burnaby-1", "over", 10, "reason", "least outstanding")
			}
			b.ReportMetric(float64(droppedLines.Get()-before)/float64(b.N), "dropped/op")
			cancel()
			<-ended
		})
	}
}

// TestServerHealth guards against a process that is reported ready while it is not.
func TestServerHealth(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	notReady := make(chan error, 1)
	notReady <- errors.New("no configuration")
	server := NewServer(ServerConfig{Listener: listener, Ready: func() error {
		select {
		case err := <-notReady:
			return err
		default:
			return nil
		}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + listener.Addr().String() + path)
		is.NoErr(err)
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	code, body := get("/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "no configuration"))
	code, _ = get("/readyz")
	is.Equal(code, http.StatusOK)
	code, _ = get("/livez")
	is.Equal(code, http.StatusOK)
	_, body = get("/metrics")
	is.True(strings.Contains(body, "clementine_log_lines_dropped_total"))
	http.DefaultClient.CloseIdleConnections()
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
}

// authority signs test certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, _ := x509.ParseCertificate(der)
	return &authority{certificate, key}
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate for localhost with the serial number, and returns the paths of its files.
func (a *authority) issue(t *testing.T, directory string, serial int64) Files {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{"localhost"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	files := Files{filepath.Join(directory, "c.pem"), filepath.Join(directory, "k.pem"), filepath.Join(directory, "ca.pem")}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

// handshake connects and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			err = tls.Server(conn, server).Handshake()
		}
		accepted <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	tlsConn := tls.Client(conn, client)
	clientErr := tlsConn.Handshake()
	if clientErr != nil {
		_ = conn.Close()
	}
	if err := errors.Join(clientErr, <-accepted); err != nil {
		return 0, err
	}
	return tlsConn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestTLS guards against accepting a connection on which either side has no trusted certificate, and against
// replaced files that take effect only after a restart.
func TestTLS(t *testing.T) {
	is := is.New(t)
	trusted, other := newAuthority(t), newAuthority(t)
	serverFiles := trusted.issue(t, t.TempDir(), 10)
	server, err := LoadCertificates(serverFiles)
	is.NoErr(err)
	client, err := LoadCertificates(trusted.issue(t, t.TempDir(), 20))
	is.NoErr(err)
	untrusted, err := LoadCertificates(other.issue(t, t.TempDir(), 30))
	is.NoErr(err)

	serial, err := handshake(t, server.Server(), client.Client("localhost"))
	is.NoErr(err)
	is.Equal(serial, int64(10))
	_, err = handshake(t, server.Server(), client.Client("127.0.0.1"))
	is.NoErr(err) // entries are dialled by IP address
	_, err = handshake(t, server.Server(), untrusted.Client("localhost"))
	is.True(err != nil) // the client does not trust the server
	_, err = handshake(t, server.Server(), client.Client("elsewhere"))
	is.True(err != nil) // the certificate names another host
	anonymous := client.Client("localhost")
	anonymous.GetClientCertificate = nil
	_, err = handshake(t, server.Server(), anonymous)
	is.True(err != nil) // the client has no certificate
	untrustedClient := client.Client("localhost")
	untrustedClient.GetClientCertificate = untrusted.Client("").GetClientCertificate
	_, err = handshake(t, server.Server(), untrustedClient)
	is.True(err != nil) // another CA signed the client's certificate

	trusted.issue(t, filepath.Dir(serverFiles.Certificate), 11)
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(serverFiles.Certificate, later, later))
	serial, err = handshake(t, server.Server(), client.Client("localhost"))
	is.NoErr(err)
	is.Equal(serial, int64(11)) // the replaced file is in use
	is.NoErr(os.WriteFile(serverFiles.Key, []byte("half a file"), 0o600))
	serial, err = handshake(t, server.Server(), client.Client("localhost"))
	is.NoErr(err)
	is.Equal(serial, int64(11)) // with an unusable file, the previous one stays in use
}
