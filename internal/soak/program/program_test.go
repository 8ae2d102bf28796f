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

// patience bounds each wait; nothing here is asserted to be fast.
const patience = 20 * time.Second

// A life that ends by itself, or badly after SIGTERM, is reported; what was
// killed, or stopped well, is not.
func TestEndsAreJudged(t *testing.T) {
	tests := []struct {
		name   string
		script string
		told   []syscall.Signal
		failed int
	}{
		{"ends by itself", "exit 0", nil, 1},
		{"crashes", "exit 3", nil, 1},
		{"killed", "echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGKILL}, 0},
		{"stops well", "trap 'exit 0' TERM; echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM}, 0},
		{"stops badly", "trap 'exit 1' TERM; echo '" + program.Begun + "'; echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM}, 1},
		{"told to stop before it has begun", "echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM}, 0},
		{"killed while it stops", "trap '' TERM; echo ready > %s; while :; do sleep 0.01; done", []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			file, ready := filepath.Join(dir, "script"), filepath.Join(dir, "ready")
			script := test.script
			if test.told != nil {
				script = fmt.Sprintf(test.script, ready)
			}
			c.Assert(os.WriteFile(file, []byte("#!/bin/sh\n"+script+"\n"), 0o700), qt.IsNil)
			failed := 0
			p := &program.Program{File: file, Log: filepath.Join(dir, "log"), Failed: func(error) { failed++ }}
			c.Assert(p.Start(), qt.IsNil)
			for test.told != nil && !exists(ready) {
				time.Sleep(time.Millisecond)
			}
			ended := p.Signal(0) // says only which life it is
			for _, s := range test.told {
				p.Signal(s)
			}
			c.Assert(program.Over(ended, patience), qt.IsTrue)
			c.Assert(failed, qt.Equals, test.failed)
		})
	}
}

// Who waits for the end of a life doesn't wait for the one that follows it: two
// steps that killed everything held the soak up for three minutes.
func TestEndOfOneLife(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "script")
	c.Assert(os.WriteFile(file, []byte("#!/bin/sh\nwhile :; do sleep 0.01; done\n"), 0o700), qt.IsNil)
	p := &program.Program{File: file, Log: filepath.Join(dir, "log"), Failed: func(error) {}}
	c.Assert(p.Start(), qt.IsNil)
	first := p.Signal(syscall.SIGKILL)
	c.Assert(program.Over(first, patience), qt.IsTrue)
	c.Assert(p.Start(), qt.IsNil)
	c.Assert(program.Over(first, patience), qt.IsTrue)
	second := p.Signal(syscall.SIGKILL)
	c.Assert(second == first, qt.IsFalse)
	c.Assert(program.Over(second, patience), qt.IsTrue)
	c.Assert(program.Over(p.Signal(syscall.SIGKILL), patience), qt.IsTrue) // nothing lives
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
