package process

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are taken below the range of ephemeral ports, so that no outgoing connection takes one.
const (
	firstPort = 20000
	portCount = 12000
)

// host is a loopback address of this test process alone, so that two test processes on one machine
// cannot take each other's ports.
var host = fmt.Sprintf("127.%d.%d.2", 1+(os.Getpid()>>8)%250, os.Getpid()%256)

// ports counts the ports handed out.
var ports atomic.Int64

// freeAddress returns an address that this process has not handed out before. It does not try to listen
// there: a child process that is being started at that moment holds the trial socket a little longer, and
// the process that is to listen then finds the address in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	next := ports.Add(1)
	if next > portCount {
		t.Fatal("no free port")
	}
	return fmt.Sprintf("%s:%d", host, firstPort+next)
}
