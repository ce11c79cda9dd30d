package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// program is one program with its command line; it can be started again after its end.
type program struct {
	name      string
	path      string
	arguments []string
	log       string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func newProgram(directory, name, binary string, arguments ...string) *program {
	return &program{
		name: name, path: filepath.Join(binaries, binary), arguments: arguments,
		log: filepath.Join(directory, name+".log"),
	}
}

// start starts the process; its log is appended to the log of earlier ones.
func (p *program) start(t *testing.T) {
	t.Helper()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command(p.path, p.arguments...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command, p.ended = command, ended
}

// signal sends a signal to the process.
func (p *program) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends the process without notice and waits for its end.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

func (p *program) freeze() { p.signal(syscall.SIGSTOP) }
func (p *program) resume() { p.signal(syscall.SIGCONT) }

// stop asks for a planned stop and reports whether the process ended in time.
func (p *program) stop(limit time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.wait(limit)
}

// wait reports whether the process ended within the limit.
func (p *program) wait(limit time.Duration) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the process has been started and has not ended.
func (p *program) running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
