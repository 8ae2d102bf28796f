package eventlog_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// events returns the constants of event.go by name, with their values.
func events(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	found := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			found[v.Names[0].Name] = strings.Trim(v.Values[0].(*ast.BasicLit).Value, `"`)
		}
		return true
	})
	return found
}

// Every event is written somewhere in the code and described in LOGGING.md.
func TestEveryEventIsWrittenAndExplained(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "story") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "LOGGING.md"))
	qt.Assert(t, err, qt.IsNil)
	for name, value := range events(t) {
		written := strings.Contains(code.String(), "eventlog."+name) || name == "LinesDropped" && strings.Contains(code.String(), "begin(l.logger.Log(), 0, LinesDropped)")
		qt.Check(t, written, qt.IsTrue, qt.Commentf("%s is never written", name))
		qt.Check(t, strings.Contains(string(page), "`"+value+"`"), qt.IsTrue, qt.Commentf("%s is not in LOGGING.md", value))
	}
}

// stalledWriter is an output that blocks until released.
type stalledWriter struct {
	release chan struct{}
	once    sync.Once
	begun   chan struct{}
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	<-s.release
	return len(p), nil
}

// An output that blocks does not block writers of the log; the lines that it misses
// are counted as dropped.
func TestStalledReader(t *testing.T) {
	c := qt.New(t)
	out := &stalledWriter{release: make(chan struct{}), begun: make(chan struct{})}
	log := eventlog.Open(out, "n1")
	log.Write(eventlog.Line{Event: eventlog.Started})
	<-out.begun
	for range 5000 { // returns although the output blocks
		log.Write(eventlog.Line{Event: eventlog.Sent, Request: "r"})
	}
	close(out.release)
	c.Assert(log.Close(), qt.IsNil)
	c.Assert(log.Dropped() > 0, qt.IsTrue)
}

// notifyWriter signals each line that was written.
type notifyWriter chan struct{}

func (w notifyWriter) Write(p []byte) (int, error) {
	w <- struct{}{}
	return len(p), nil
}

// A line reaches the output without another line being written after it.
func TestEachLineArrivesAlone(t *testing.T) {
	const lines = 100_000 // enough to show a wake-up that is lost once in ten thousand lines
	out := make(notifyWriter)
	log := eventlog.Open(out, "n1")
	for range lines {
		log.Write(eventlog.Line{Event: eventlog.Started})
		<-out
	}
	qt.Assert(t, log.Close(), qt.IsNil)
}

// Under load, the lines of requests that were served in time are left out; all
// lines of other requests are written, with the times at which they were logged.
func TestTrailsUnderLoad(t *testing.T) {
	tests := []struct {
		name   string
		served bool
		want   int // lines of the last request
	}{{"served in time", true, 0}, {"failed", false, 3}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			log := eventlog.Open(&out, "n1")
			for range 300 { // more than immediateBurst
				log.NewRequestLog().End(true)
			}
			requestLog := log.NewRequestLog()
			for range 3 {
				requestLog.Write(eventlog.Line{Event: eventlog.Sent, Request: "last"})
			}
			requestLog.End(test.served)
			c.Assert(log.Close(), qt.IsNil)
			c.Assert(strings.Count(out.String(), `"request":"last"`), qt.Equals, test.want)
			c.Assert(log.Sampled() == 3, qt.Equals, test.served)
		})
	}
}

func ExampleLog_Write() {
	log := eventlog.Open(io.Discard, "n1")
	log.Write(eventlog.Line{Event: eventlog.Refused, Request: "9c41d07b", Reason: "no_endpoint", Status: 503})
	_ = log.Close()
	// Output:
}
