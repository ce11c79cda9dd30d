package process

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ports are taken below the range of ephemeral ports, so that an outgoing connection cannot take a
// port between the check and the start of the process.
const (
	firstPort = 20000
	portCount = 12000
)

// host is a loopback address of this test process alone, so that two test processes on one machine
// cannot take each other's ports.
var host = fmt.Sprintf("127.%d.%d.2", 1+(os.Getpid()>>8)%250, os.Getpid()%256)

var (
	portMutex sync.Mutex
	nextPort  int
)

// freeAddress returns a loopback address with a port on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	portMutex.Lock()
	defer portMutex.Unlock()
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprintf("%s:%d", host, firstPort+nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}
