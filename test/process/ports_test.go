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

var (
	portMutex sync.Mutex
	nextPort  = os.Getpid() * 97 % portCount
)

// freeAddress returns a loopback address with a port on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	portMutex.Lock()
	defer portMutex.Unlock()
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
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
