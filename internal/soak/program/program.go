// Package program runs one real program as a process of its own and strikes it
// with signals, by its id, as the machine's faults would.
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

// Program is one process and those that follow it.
type Program struct {
	File     string
	Settings string // path of its settings file
	Log      string // path of its log, which grows with each life
	// Failed is told of a life that ended in another way than it was told to:
	// by itself, or with a failure after SIGTERM.
	Failed func(how error)

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	life  int
	log   *os.File
	told  syscall.Signal // SIGTERM or SIGKILL; 0 while it is to live
	from  int64          // byte of the log at which the life begins
}

// starts carries the starts of all programs to one thread, which lasts as long
// as this process: the kernel ends what a thread started when the thread ends,
// so no instance outlives a soak that was killed.
var starts = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range work {
			do()
		}
	}()
	return work
})

func start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	starts() <- func() { done <- cmd.Start() }
	return <-done
}

// Start begins a new life; it does nothing while one lasts.
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
	from, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		_ = log.Close()
		return err
	}
	cmd := exec.CommandContext(context.Background(), p.File, "gateway", "--settings", p.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := start(cmd); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.File, err)
	}
	p.cmd, p.log, p.ended, p.told, p.from = cmd, log, make(chan struct{}), 0, from
	p.life++
	go p.reap(cmd, log, p.ended)
	return nil
}

// reap waits for the end of a life; how it ended stands in the log.
func (p *Program) reap(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	err := cmd.Wait()
	_, _ = fmt.Fprintf(log, "{\"event\":\"process_ended\",\"at\":%q,\"how\":%q}\n", time.Now().Format(time.RFC3339Nano), fmt.Sprint(err))
	_ = log.Close()
	p.mu.Lock()
	told, from := p.told, p.from
	p.mu.Unlock()
	if told == 0 || told == syscall.SIGTERM && err != nil && p.begun(from) {
		p.Failed(err)
	}
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(ended)
}

// begun says whether the life whose log begins at a byte came as far as its
// first line. Until then SIGTERM ends any process, and no harm is done.
func (p *Program) begun(from int64) bool {
	data, err := os.ReadFile(p.Log)
	return err != nil || strings.Contains(string(data[min(from, int64(len(data))):]), Begun)
}

// Begun is in the line that a process writes once it runs.
const Begun = `"event":"started"`

// Signal sends a signal to the process that this Program started, if it lives,
// and returns what is closed at the end of that life.
func (p *Program) Signal(s syscall.Signal) (ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		over := make(chan struct{})
		close(over)
		return over
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM && p.told == 0 {
		p.told = s
	}
	_ = p.cmd.Process.Signal(s) // it may have ended this moment
	return p.ended
}

// Over waits for the end of a life, at most for a time, and says whether it
// came.
func Over(ended <-chan struct{}, most time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Life counts the starts so far.
func (p *Program) Life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// Alive says whether a process runs.
func (p *Program) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}
