package program_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/soak/program"
)

// waitTimeout bounds each wait; the tests make no assertion about speed.
const waitTimeout = 20 * time.Second

// A process that exits by itself, or with an error after SIGTERM, is reported as failed.
// One that was killed, stopped without an error, or was stopped before it had started is
// not.
func TestFailuresAreReported(t *testing.T) {
	tests := []struct {
		name    string
		script  string
		signals []syscall.Signal
		failed  int
	}{
		{"exits by itself", "exit 0", nil, 1},
		{"exits by itself with an error", "exit 3", nil, 1},
		{"killed", "echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGKILL}, 0},
		{"stops without an error", "trap 'exit 0' TERM; echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM}, 0},
		{"stops with an error", "trap 'exit 1' TERM; echo '" + program.StartedMarker + "'; echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM}, 1},
		{"stopped before it has started", "echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM}, 0},
		{"killed while stopping", "trap '' TERM; echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			file, ready := filepath.Join(dir, "script"), filepath.Join(dir, "ready")
			script := test.script
			if test.signals != nil {
				script = fmt.Sprintf(test.script, ready)
			}
			c.Assert(os.WriteFile(file, []byte("#!/bin/sh\n"+script+"\n"), 0o700), qt.IsNil)
			failed := 0
			p := &program.Program{Executable: file, Log: filepath.Join(dir, "log"), OnFailure: func(error) { failed++ }}
			c.Assert(p.Start(), qt.IsNil)
			for test.signals != nil && !exists(ready) {
				time.Sleep(time.Millisecond)
			}
			exited := p.Signal(0) // only returns the channel
			for _, s := range test.signals {
				p.Signal(s)
			}
			c.Assert(program.WaitExit(exited, waitTimeout), qt.IsTrue)
			c.Assert(failed, qt.Equals, test.failed)
		})
	}
}

// The wait for the exit of a process is not extended by the next process. When it was, two
// steps that killed all instances delayed the soak test by three minutes.
func TestWaitEndsWithItsProcess(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "script")
	c.Assert(os.WriteFile(file, []byte("#!/bin/sh\nwhile :; do sleep 0.01; done\n"), 0o700), qt.IsNil)
	p := &program.Program{Executable: file, Log: filepath.Join(dir, "log"), OnFailure: func(error) {}}
	c.Assert(p.Start(), qt.IsNil)
	first := p.Signal(syscall.SIGKILL)
	c.Assert(program.WaitExit(first, waitTimeout), qt.IsTrue)
	c.Assert(p.Start(), qt.IsNil)
	c.Assert(program.WaitExit(first, waitTimeout), qt.IsTrue)
	second := p.Signal(syscall.SIGKILL)
	c.Assert(second == first, qt.IsFalse)
	c.Assert(program.WaitExit(second, waitTimeout), qt.IsTrue)
	c.Assert(program.WaitExit(p.Signal(syscall.SIGKILL), waitTimeout), qt.IsTrue) // no process is running
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
