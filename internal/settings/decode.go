package settings

import (
	"regexp"
	"time"
)

// Limits and defaults of the settings.
const (
	defaultStoreTimeout = time.Second
	minStoreTimeout     = 50 * time.Millisecond
	// maxStoreTimeout is the TTL of a registration: a longer call cannot confirm a registration before it expires.
	maxStoreTimeout    = 3 * time.Second
	defaultStopTimeout = 10 * time.Minute
	minStopTimeout     = time.Second
	maxStopTimeout     = 10 * time.Minute
	defaultLogQueue    = 4096
	minLogQueue        = 16
	maxLogQueue        = 1 << 16
	maxProcessors      = 4096
	minMemoryBytes     = 64e6
	maxMemoryBytes     = 64e12
	maxAccelerators    = 1024
	maxSlots           = 4096
	// minProcessMemory is the smallest memory limit within which requests with the largest body are answered. With 70 MB
	// a process reached 72 MB: the program takes 16 MB beside the runtime's soft limit, which is 0.7 of the memory limit.
	minProcessMemory = 96e6
	// minOpenFiles leaves each listener a few connections beside the 200 descriptors that are reserved.
	minOpenFiles        = 512
	maxOpenFiles        = 1 << 20
	maxConnections      = 65536
	millisPerProcessor  = 1000
	allowedName         = "1 to 63 lower-case letters, digits and hyphens, starting with a letter"
	allowedFile         = "the path of a PEM file"
	allowedPlaintextFix = "a loopback address, tls, or allow_plaintext_on_all_interfaces: true"
)

// Sizes of a recorded trace in bytes. The maximum is the largest file that a replay reads.
const (
	defaultTraceSize = 64e6
	minTraceSize     = 1e6
	maxTraceSize     = 128e6
)

// namePattern restricts names to those usable in metric labels, store keys and host names.
var namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Decode decodes a settings file. The file name is used in faults only. An invalid file returns a Faults
// error that holds all faults.
func Decode(file string, data []byte) (*Settings, error) {
	d := &decoder{file: file}
	root := d.parse(data)
	if root == nil {
		return nil, d.faults.sorted()
	}
	decoded := decodeSettings(root)
	root.reportUnknownKeys()
	if err := d.faults.sorted(); err != nil {
		return nil, err
	}
	return decoded, nil
}

func decodeSettings(root *section) *Settings {
	s := &Settings{
		Role:        Role(root.choice("role", "", string(RoleEntry), string(RoleAgent))),
		Name:        root.name("name"),
		Region:      root.name("region"),
		Zone:        root.name("zone"),
		Rack:        root.name("rack"),
		StopTimeout: root.duration("stop_timeout", defaultStopTimeout, minStopTimeout, maxStopTimeout),
		Limits:      decodeLimits(root.child("limits")),
		Log:         decodeLog(root.child("log")),
		TLS:         decodeTLS(root.child("tls")),
	}
	s.AllowPlaintextOnAllInterfaces = root.boolean("allow_plaintext_on_all_interfaces")
	if s.AllowPlaintextOnAllInterfaces && s.TLS.Enabled() {
		root.addContradiction("allow_plaintext_on_all_interfaces", "true together with tls", "one of the two")
	}
	plaintext := !s.TLS.Enabled() && !s.AllowPlaintextOnAllInterfaces
	switch s.Role {
	case RoleEntry:
		decodeEntry(root, s, plaintext)
	case RoleAgent:
		decodeAgent(root, s, plaintext)
	default:
		// Which of these keys exist depends on the role, so none of them is reported as unknown.
		for _, name := range []string{"listen", "advertise", "store", "entries", "runtime", "worker", "trace"} {
			root.known[name] = true
		}
	}
	return s
}

// name returns a required name and reports a fault if it does not match namePattern.
func (s *section) name(name string) string {
	text := s.text(name, required, allowedName)
	if text != "" && !namePattern.MatchString(text) {
		s.decoder.addFault(FaultValue, s.faultNode(name), s.keyPath(name), describeNode(s.faultNode(name)), allowedName)
	}
	return text
}

func decodeLog(s *section) Log {
	decoded := Log{
		Level:      s.choice("level", "info", "debug", "info", "warn", "error"),
		Format:     s.choice("format", "text", "text", "json"),
		QueueLines: int(s.integer("queue_lines", defaultLogQueue, minLogQueue, maxLogQueue)),
	}
	s.reportUnknownKeys()
	return decoded
}

func decodeLimits(s *section) Limits {
	decoded := Limits{
		MemoryBytes: s.size("memory", 0, minProcessMemory, maxMemoryBytes),
		OpenFiles:   int(s.integer("openFiles", 0, minOpenFiles, maxOpenFiles)),
	}
	s.reportUnknownKeys()
	return decoded
}

func decodeTLS(s *section) TLS {
	decoded := TLS{
		Certificate: s.text("certificate", optional, allowedFile),
		Key:         s.text("key", optional, allowedFile),
		ClientCA:    s.text("client_ca", optional, allowedFile),
	}
	if decoded != (TLS{}) {
		for _, name := range []string{"certificate", "key", "client_ca"} {
			if !s.hasValue(name) {
				s.addMissing(name, allowedFile+"; certificate, key and client_ca belong together")
			}
		}
	}
	s.reportUnknownKeys()
	return decoded
}

// decodeTrace decodes the file and the maximum size of a trace. A size without a file is a fault.
func decodeTrace(s *section) Trace {
	decoded := Trace{
		File:     s.text("file", optional, allowedFile),
		MaxBytes: s.size("max_size", defaultTraceSize, minTraceSize, maxTraceSize),
	}
	if decoded.File == "" && s.hasValue("max_size") {
		s.addMissing("file", allowedFile)
	}
	s.reportUnknownKeys()
	return decoded
}

func decodeEntry(root *section, s *Settings, plaintext bool) {
	listen := root.child("listen")
	s.Listen = Listen{
		Callers:   listen.listenAddress("callers", plaintext),
		Operators: listen.listenAddress("operators", plaintext),
		Links:     listen.listenAddress("links", plaintext),
		Metrics:   listen.listenAddress("metrics", plaintext),
	}
	listen.reportUnknownKeys()
	advertise := root.child("advertise")
	s.Advertise = Advertise{
		Operators: advertise.advertisedAddress("operators", s.Listen.Operators),
		Links:     advertise.advertisedAddress("links", s.Listen.Links),
	}
	advertise.reportUnknownKeys()
	store := root.child("store")
	s.Store = Store{
		Address: store.dialAddress("address"),
		Timeout: store.duration("timeout", defaultStoreTimeout, minStoreTimeout, maxStoreTimeout),
	}
	store.reportUnknownKeys()
	s.Trace = decodeTrace(root.child("trace"))
	s.Entries = root.dialAddresses("entries", optional)
}

func decodeAgent(root *section, s *Settings, plaintext bool) {
	listen := root.child("listen")
	s.Listen = Listen{
		Metrics: listen.listenAddress("metrics", plaintext),
		Targets: listen.loopbackAddress("targets"),
	}
	listen.reportUnknownKeys()
	s.Entries = root.dialAddresses("entries", required)
	runtime := root.child("runtime")
	s.Runtime = runtime.dialAddress("address")
	runtime.reportUnknownKeys()
	worker := root.child("worker")
	s.Worker = Worker{
		MilliCPU:     worker.integer("processors", 0, 1, maxProcessors) * millisPerProcessor,
		MemoryBytes:  worker.size("memory", 0, minMemoryBytes, maxMemoryBytes),
		Accelerators: worker.integer("accelerators", 0, 0, maxAccelerators),
		Slots:        int(worker.integer("slots", 0, 1, maxSlots)),
		Connections:  int(worker.integer("connections", 0, 1, maxConnections)),
	}
	if s.Worker.Slots > 0 && s.Worker.Connections > 0 && s.Worker.Connections < s.Worker.Slots {
		worker.addContradiction("connections", "fewer connections than slots", "at least the number of slots")
	}
	worker.reportUnknownKeys()
}
