// Package story reconstructs what happened to one request from the logs of
// several processes: the request's own lines in order of time, and between them
// the changes in its instances' view of the store and of the endpoints involved.
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
	Software string         `json:"software"`
	Prefill  string         `json:"prefill"`
	Zone     string         `json:"zone"`
	Outcome  string         `json:"outcome"`
	Reason   string         `json:"reason"`
	Detail   string         `json:"detail"`
	Status   int            `json:"status"`
	Took     int64          `json:"took_ms"`
	Left     int64          `json:"left_ms"`
	Age      int64          `json:"age_ms"`
	Wait     int64          `json:"wait_ms"`
	Version  int64          `json:"version"`
	Revision int64          `json:"revision"`
	Count    int64          `json:"count"`

	raw []byte
}

// beliefWindow is how long before the request's first line other lines of its instances
// are included.
const beliefWindow = 5 * time.Second

// Story is the selected log lines of one request, in order of time.
type Story struct {
	Request string
	Entries []Entry
}

// Read reads the logs of any number of processes, one JSON object a line. Text
// before the object, such as a log collector's timestamp, is skipped, as are lines
// that cannot be parsed.
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
			continue // truncated, or written by another program
		}
		if e.Request == "" || e.Request == request {
			all = append(all, e)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return selectEntries(all, request)
}

// selectEntries returns the lines of the request and, shortly before and during it,
// those lines of its instances that name no request and either no endpoint or one
// that the request used.
func selectEntries(all []Entry, request string) (*Story, error) {
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
		return nil, Error.New("no line names request %q: it did not reach any process whose log was read, or it was served in time and its lines were left out by sampling", request)
	}
	s := &Story{Request: request}
	for _, e := range all {
		near := e.Time >= first-beliefWindow.Milliseconds() && e.Time <= last
		about := e.Endpoint == "" || endpoints[e.Endpoint]
		if e.Request == request || near && about && instances[e.Instance] {
			s.Entries = append(s.Entries, e)
		}
	}
	return s, nil
}

// Write prints one sentence for each line, with the time since the request's first.
func (s *Story) Write(w io.Writer) error {
	start := int64(0)
	for _, e := range s.Entries {
		if e.Request == s.Request {
			start = e.Time
			break
		}
	}
	for _, e := range s.Entries {
		if _, err := fmt.Fprintf(w, "%+7d ms  %s  %s\n", e.Time-start, e.Instance, describe(e)); err != nil {
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

// describe returns a sentence for one line.
func describe(e Entry) string {
	text := map[eventlog.Event]string{
		eventlog.Placed:          fmt.Sprintf("was assigned decode engine %s%s in zone %s; that engine was estimated to hold %d tokens", e.Endpoint, prefillText(e), e.Zone, e.Count),
		eventlog.Sent:            fmt.Sprintf("send %d to endpoint %s%s of %s, with %d ms left, under configuration %d", e.Attempt, e.Endpoint, softwareText(e), e.Service, e.Left, e.Version),
		eventlog.PrefillFailed:   fmt.Sprintf("prefill engine %s failed", e.Endpoint),
		eventlog.EndpointFailed:  fmt.Sprintf("endpoint %s failed this request (%s)", e.Endpoint, e.Reason),
		eventlog.EndpointEjected: fmt.Sprintf("endpoint %s is ejected for %d ms (%s)", e.Endpoint, e.Took, e.Reason),
		eventlog.Repeated:        fmt.Sprintf("is retried because of %s", e.Reason),
		eventlog.TakenUp:         fmt.Sprintf("the caller goes on with a stream that was begun%s; that is %s", softwareText(e), e.Outcome),
		eventlog.Resumed:         fmt.Sprintf("the stream is resumed on another endpoint because of %s", e.Reason),
		eventlog.Silent:          fmt.Sprintf("endpoint %s is silent; the request is sent to another one as well, and the first to speak answers", e.Endpoint),
		eventlog.Moved:           fmt.Sprintf("another endpoint spoke first; the send to %s is canceled", e.Endpoint),
		eventlog.Kept:            fmt.Sprintf("the silent endpoint went on after %d ms; the other send is canceled", e.Age),
		eventlog.Waiting:         fmt.Sprintf("the stream waits for an endpoint (%s)", e.Reason),
		eventlog.BudgetSpent:     "is not retried: the retry budget is exhausted",
		eventlog.Answered:        fmt.Sprintf("answered with status %d after %d ms, %s", e.Status, e.Took, strings.ReplaceAll(e.Outcome, "_", " ")),
		eventlog.Refused:         fmt.Sprintf("refused with status %d after %d ms, not run: %s; the caller may retry after %d ms", e.Status, e.Took, reasonText(e), e.Wait),
		eventlog.GaveUp:          fmt.Sprintf("failed with status %d after %d ms, may have run: %s", e.Status, e.Took, reasonText(e)),
		eventlog.Broken:          fmt.Sprintf("the response was aborted after %d ms: %s", e.Took, reasonText(e)),
		eventlog.Cancelled:       cancelledText(e),
		eventlog.Believed:        fmt.Sprintf("belief: %s %s%s at revision %d", strings.ReplaceAll(e.Outcome, "_", " "), e.Endpoint, versionText(e), e.Revision),
	}[e.Event]
	if text == "" {
		text = strings.ReplaceAll(string(e.Event), "_", " ")
	}
	if e.Detail != "" {
		text += " [" + strings.ReplaceAll(e.Detail, "\n", "; ") + "]"
	}
	return text
}

// ends say who ended a request, by the reasons that tell it.
var ends = map[string]string{
	"caller_left":     "ended by the caller, which left",
	"caller_stalled":  "ended by the caller, which did not read the answer",
	"body_unfinished": "ended by the caller, which did not send all of the body",
	"stopping":        "ended by the planned stop of this instance",
	"time_over":       "ended because the time of the caller or of the route was over",
}

// reasonText returns a line's reason, and who ended the request if the reason tells that.
func reasonText(e Entry) string {
	end, known := ends[e.Reason]
	if !known {
		return e.Reason
	}
	return e.Reason + ", " + end
}

// cancelledText returns the sentence for a request that ended without a whole answer. Lines of earlier builds have no
// reason if the caller left.
func cancelledText(e Entry) string {
	reason := cmp.Or(e.Reason, "caller_left")
	return fmt.Sprintf("%s (%s), after %d ms", cmp.Or(ends[reason], "ended"), reason, e.Took)
}

func prefillText(e Entry) string {
	if e.Prefill == "" {
		return ", which computes the prefill itself,"
	}
	return fmt.Sprintf(" and prefill engine %s (predicted wait %d ms)", e.Prefill, e.Wait)
}

func softwareText(e Entry) string {
	if e.Software == "" {
		return ""
	}
	return " (software " + e.Software + ")"
}

func versionText(e Entry) string {
	if e.Version == 0 {
		return ""
	}
	return fmt.Sprint(e.Version)
}
