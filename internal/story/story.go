// Package story joins the log lines of several processes into what happened to
// one request: its own lines in order, and between them what its instance came
// to believe of the store and of the endpoints it met.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// Error marks every error of this package.
var Error = errs.Class("story")

// Entry is one line of a log, as eventlog writes it.
type Entry struct {
	Instance string         `json:"instance"`
	Time     int64          `json:"time"` // ms since 1970
	Event    eventlog.Event `json:"event"`
	Request  string         `json:"request"`
	Attempt  int            `json:"attempt"`
	Route    string         `json:"route"`
	Service  string         `json:"service"`
	Endpoint string         `json:"endpoint"`
	Prefill  string         `json:"prefill"`
	Zone     string         `json:"zone"`
	Outcome  string         `json:"outcome"`
	Reason   string         `json:"reason"`
	Detail   string         `json:"detail"`
	Status   int            `json:"status"`
	Took     int64          `json:"took_ms"`
	Left     int64          `json:"left_ms"`
	Wait     int64          `json:"wait_ms"`
	Version  int64          `json:"version"`
	Revision int64          `json:"revision"`
	Count    int64          `json:"count"`

	raw []byte
}

// before is how long before a request's arrival beliefs are told.
const before = 5 * time.Second

// Story is one request's.
type Story struct {
	Request string
	Entries []Entry
}

// Read takes logs of any number of processes, one JSON object a line; what
// stands before the object on a line, such as a collector's time, is skipped.
func Read(r io.Reader, request string) (*Story, error) {
	var all []Entry
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		line := scan.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		e := Entry{raw: slices.Clone(line[start:])}
		if err := json.Unmarshal(e.raw, &e); err != nil {
			continue // a line that was cut off, or of another program
		}
		if e.Request == "" || e.Request == request {
			all = append(all, e)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return choose(all, request)
}

func choose(all []Entry, request string) (*Story, error) {
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.Time, b.Time) })
	instances, endpoints := map[string]bool{}, map[string]bool{}
	var first, last int64
	for _, e := range all {
		if e.Request != request {
			continue
		}
		instances[e.Instance], endpoints[e.Endpoint], endpoints[e.Prefill] = true, true, true
		if first == 0 {
			first = e.Time
		}
		last = e.Time
	}
	if first == 0 {
		return nil, Error.New("no line names request %q; it reached no process whose log this is, or was served in time and left out", request)
	}
	s := &Story{Request: request}
	for _, e := range all {
		near := e.Time >= first-before.Milliseconds() && e.Time <= last
		about := e.Endpoint == "" || endpoints[e.Endpoint]
		if e.Request == request || near && about && instances[e.Instance] {
			s.Entries = append(s.Entries, e)
		}
	}
	return s, nil
}

// Write tells the story in plain words, one line each.
func (s *Story) Write(w io.Writer) error {
	start := int64(0)
	for _, e := range s.Entries {
		if e.Request == s.Request {
			start = e.Time
			break
		}
	}
	for _, e := range s.Entries {
		if _, err := fmt.Fprintf(w, "%+7d ms  %s  %s\n", e.Time-start, e.Instance, words(e)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// WriteJSON writes the lines as they were logged, in order.
func (s *Story) WriteJSON(w io.Writer) error {
	for _, e := range s.Entries {
		if _, err := fmt.Fprintf(w, "%s\n", e.raw); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// words says one line in plain words.
func words(e Entry) string {
	text := map[eventlog.Event]string{
		eventlog.Placed:          fmt.Sprintf("was given decode engine %s%s in zone %s; that engine was estimated to hold %d tokens", e.Endpoint, reader(e), e.Zone, e.Count),
		eventlog.Sent:            fmt.Sprintf("send %d to endpoint %s of %s, with %d ms left, under configuration %d", e.Attempt, e.Endpoint, e.Service, e.Left, e.Version),
		eventlog.PrefillFailed:   fmt.Sprintf("prefill engine %s failed", e.Endpoint),
		eventlog.EndpointFailed:  fmt.Sprintf("endpoint %s failed this request (%s)", e.Endpoint, e.Reason),
		eventlog.EndpointEjected: fmt.Sprintf("endpoint %s is left alone for %d ms (%s)", e.Endpoint, e.Took, e.Reason),
		eventlog.Repeated:        fmt.Sprintf("is sent again because of %s", e.Reason),
		eventlog.Resumed:         fmt.Sprintf("the stream goes on elsewhere because of %s", e.Reason),
		eventlog.BudgetSpent:     "may not be sent again: the retry budget is spent",
		eventlog.Answered:        fmt.Sprintf("answered with status %d after %d ms, %s", e.Status, e.Took, strings.ReplaceAll(e.Outcome, "_", " ")),
		eventlog.Refused:         fmt.Sprintf("refused with status %d after %d ms, not run: %s; told to come back after %d ms", e.Status, e.Took, e.Reason, e.Wait),
		eventlog.GaveUp:          fmt.Sprintf("given up with status %d after %d ms, may have run: %s", e.Status, e.Took, e.Reason),
		eventlog.Broken:          fmt.Sprintf("the answer was broken off after %d ms: %s", e.Took, e.Reason),
		eventlog.Cancelled:       fmt.Sprintf("the caller left after %d ms", e.Took),
		eventlog.Believed:        fmt.Sprintf("belief: %s %s%s at revision %d", strings.ReplaceAll(e.Outcome, "_", " "), e.Endpoint, version(e), e.Revision),
	}[e.Event]
	if text == "" {
		text = strings.ReplaceAll(string(e.Event), "_", " ")
	}
	if e.Detail != "" {
		text += " [" + strings.ReplaceAll(e.Detail, "\n", "; ") + "]"
	}
	return text
}

func reader(e Entry) string {
	if e.Prefill == "" {
		return ", which reads the prompt itself,"
	}
	return fmt.Sprintf(" and prefill engine %s (predicted wait %d ms)", e.Prefill, e.Wait)
}

func version(e Entry) string {
	if e.Version == 0 {
		return ""
	}
	return fmt.Sprint(e.Version)
}
