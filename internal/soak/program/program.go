// Package program runs a program under test as a child process, restarts it, and sends
// signals to the process to emulate faults of its machine.
package program

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program runs a program, one process at a time. Each start is a new incarnation.
type Program struct {
	Executable string // path of the executable
	Settings   string // path of its settings file
	Log        string // path of its log, to which all incarnations append
	// OnFailure is called when a process exited without a signal to do so, or with an error
	// after SIGTERM if it had started.
	OnFailure func(how error)

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	starts    int
	log       *os.File
	signalled syscall.Signal // SIGTERM or SIGKILL if sent; otherwise 0
	logOffset int64          // offset in the log at which the incarnation begins
}

// starter returns a channel to a thread that starts all processes and lasts as long as this
// process. With Pdeathsig the kernel kills a child when the thread that started it ends, so
// no instance outlives a soak test that was killed, but a short-lived thread would end its
// children too early.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range work {
			do()
		}
	}()
	return work
})

// start starts a command from the starter thread.
func start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	starter() <- func() { done <- cmd.Start() }
	return <-done
}

// Start starts a process. It does nothing while one is running.
func (p *Program) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(p.Log), 0o750); err != nil {
		return err
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	offset, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		_ = log.Close()
		return err
	}
	cmd := exec.CommandContext(context.Background(), p.Executable, "gateway", "--settings", p.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := start(cmd); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.Executable, err)
	}
	p.cmd, p.log, p.exited, p.signalled, p.logOffset = cmd, log, make(chan struct{}), 0, offset
	p.starts++
	go p.reap(cmd, log, p.exited)
	return nil
}

// reap waits for the exit of a process, logs it and reports unexpected ones.
func (p *Program) reap(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	err := cmd.Wait()
	_, _ = fmt.Fprintf(log, "{\"event\":\"process_ended\",\"at\":%q,\"how\":%q}\n", time.Now().Format(time.RFC3339Nano), fmt.Sprint(err))
	_ = log.Close()
	p.mu.Lock()
	signalled, offset := p.signalled, p.logOffset
	p.mu.Unlock()
	if signalled == 0 || signalled == syscall.SIGTERM && err != nil && p.hasStarted(offset) {
		p.OnFailure(err)
	}
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(exited)
}

// Started reports whether the running process has logged its start.
func (p *Program) Started() bool {
	p.mu.Lock()
	running, offset := p.cmd != nil, p.logOffset
	p.mu.Unlock()
	return running && p.hasStarted(offset)
}

// hasStarted reports whether the incarnation whose log begins at an offset has logged its
// start. Before that a process does not handle SIGTERM yet: it exits with an error, and
// nothing is lost.
func (p *Program) hasStarted(offset int64) bool {
	data, err := os.ReadFile(p.Log)
	return err != nil || strings.Contains(string(data[min(offset, int64(len(data))):]), StartedMarker)
}

// StartedMarker is in the line that a process logs once it has started.
const StartedMarker = `"event":"started"`

// Signal sends a signal to the running process, if there is one, and returns a channel that
// is closed when that process has exited.
func (p *Program) Signal(s syscall.Signal) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM && p.signalled == 0 {
		p.signalled = s
	}
	_ = p.cmd.Process.Signal(s) // fails if the process has just exited
	return p.exited
}

// WaitExit waits for the exit of a process, at most for timeout, and reports whether it
// exited.
func WaitExit(exited <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Incarnation returns the number of starts so far.
func (p *Program) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Alive reports whether a process is running.
func (p *Program) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}
