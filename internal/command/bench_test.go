package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/command"
)

// run runs a command line and returns its exit status and output.
func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	previous := command.Output
	command.Output = &out
	defer func() { command.Output = previous }()
	status := command.Run(args)
	return status, out.String()
}

func TestBench(t *testing.T) {
	dir := t.TempDir()
	plan, wrong, result := filepath.Join(dir, "plan.yaml"), filepath.Join(dir, "wrong.yaml"), filepath.Join(dir, "result.json")
	qt.Assert(t, os.WriteFile(plan, []byte("name: small\nduration: 2s\nseeds: [1, 2]\n"), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(wrong, []byte("duration: 1ms\n"), 0o600), qt.IsNil)
	tests := []struct {
		name   string
		args   []string
		status int
		prints string
	}{
		{"tables and a result", []string{"bench", plan, "--out", result, "--plots", dir}, 0, "round_robin"},
		{"compared with the result", []string{"bench", plan, "--against", result}, 0, "+0.00 ± 0.00"},
		{"the built-in plan", []string{"bench", "--print-default"}, 0, "prefill_rate:"},
		{"no plan", []string{"bench"}, 1, ""},
		{"an invalid plan", []string{"bench", wrong}, 1, ""},
		{"no such result", []string{"bench", plan, "--against", wrong + "x"}, 1, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, out := run(t, test.args...)
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, out, qt.Contains, test.prints)
		})
	}
	_, err := os.Stat(filepath.Join(dir, "small_in_time.svg"))
	qt.Assert(t, err, qt.IsNil)
}
