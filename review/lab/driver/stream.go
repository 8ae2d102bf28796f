//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/trailshed/trailshed/platform/standin"
	"github.com/trailshed/trailshed/review/lab/names"
)

// streamDocument has a route whose streams may be resumed and one whose streams may not, as on a small deployment.
func streamDocument(version int) standin.Document {
	d := standin.NewDocument(version)
	d.Services = []standin.Service{standin.NewService("web", 0), standin.NewService("llm", 128)}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Timeout, r.LatencyTarget, r.GapTarget = 14000, 900, 300
		if r.Service == "web" {
			r.Timeout, r.LatencyTarget = 800, 300
		}
	}
	return d
}

// outcomes counts how requests ended. It is safe for concurrent use.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
	broken []string // what broke the rule
	last   atomic.Int64
}

func newOutcomes() *outcomes { return &outcomes{counts: map[string]int{}} }

func (o *outcomes) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
}

// streamCaller sends requests for streams.
type streamCaller struct {
	*fleet
	*outcomes
	client *http.Client
	pieces int // of each stream
}

// send sends one request and reads its answer.
func (c *streamCaller) send(ctx context.Context, g *gateway, path string) {
	id := fmt.Sprintf("%08x%04x", 0x9c41d07b, c.last.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+path, strings.NewReader(strings.Repeat("x", 5000)))
	if err != nil {
		return
	}
	n := names.Of
	req.Host = standin.Host
	req.Header.Set(n["request"], id)
	req.Header.Set(n["wait"], "14000")
	req.Header.Set(n["model"], "m")
	req.Header.Set(n["tokens"], "1000,"+strconv.Itoa(c.pieces))
	req.Header.Set(n["prompt"], fmt.Sprintf("5c1e07a2:200,%s:800", id))
	c.say("request %s (%s) sent to %s", id, path, g.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.count("no answer")
		c.say("request %s: no answer: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.count("status " + strconv.Itoa(resp.StatusCode))
		c.say("request %s: status %d", id, resp.StatusCode)
		return
	}
	last, wrong, err := readPieces(resp.Body, id)
	switch {
	case wrong != "":
		c.breaks(id, path, "answered %s", wrong)
	case err == nil && last < c.pieces:
		c.breaks(id, path, "ended as complete after piece %d of %d", last, c.pieces)
	case err != nil:
		c.count("cut")
		c.say("request %s: cut after piece %d of %d: %v", id, last, c.pieces, err)
	default:
		c.count("whole")
		c.say("request %s: whole, %d pieces", id, last)
	}
}

func (c *streamCaller) breaks(id, path, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.count("rule broken")
	c.say("request %s: rule broken: the stream %s", id, text)
	c.outcomes.mu.Lock()
	defer c.outcomes.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf("%s (%s): the stream %s", id, path, text))
}

// readPieces reads a stream and returns the number of its last piece, and what is wrong with its order. The error is nil
// if the stream ended where HTTP says so.
func readPieces(body io.Reader, id string) (last int, wrong string, err error) {
	r := bufio.NewReader(body)
	for {
		line, err := r.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return last, wrong, nil
		}
		if err != nil {
			return last, wrong, err
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var request string
		var piece, total int
		if _, err := fmt.Sscanf(data, "%s piece %d of %d", &request, &piece, &total); err != nil || request != id || piece != last+1 {
			wrong = fmt.Sprintf("%q after piece %d", strings.TrimSpace(data), last)
		}
		last = piece
	}
}
