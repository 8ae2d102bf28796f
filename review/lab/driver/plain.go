//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
	"github.com/trailshed/trailshed/review/lab/names"
	"github.com/trailshed/trailshed/review/lab/plain"
)

// plainCaller sends requests to plain services.
type plainCaller struct {
	*fleet
	*outcomes
	client *http.Client
}

// send sends one request and checks its answer.
func (c *plainCaller) send(g *gateway, path string) {
	id := fmt.Sprintf("7a1cd07b%08x", c.last.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		cannotRun(err)
	}
	req.Host = standin.Host
	req.Header.Set(names.Of["request"], id)
	req.Header.Set(names.Of["wait"], "1500")
	sent := time.Since(c.started).Seconds()
	resp, err := c.client.Do(req)
	if err != nil {
		c.count("no answer")
		c.say("request %s (%s) sent to %s at %.3f: no answer: %v", id, path, g.name, sent, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		c.count(fmt.Sprintf("status %d", resp.StatusCode))
		c.say("request %s (%s) sent to %s at %.3f: status %d", id, path, g.name, sent, resp.StatusCode)
	case err != nil:
		c.count("cut")
		c.say("request %s (%s) sent to %s at %.3f: cut: %v", id, path, g.name, sent, err)
	case string(body) != plain.Body(id):
		c.count("rule broken")
		text := fmt.Sprintf("%s (%s): 200, complete, with %d of %d bytes, length stated as %d", id, path, len(body), len(plain.Body(id)), resp.ContentLength)
		c.say("request %s sent to %s at %.3f: rule broken: %s", id, g.name, sent, text)
		c.outcomes.mu.Lock()
		defer c.outcomes.mu.Unlock()
		c.broken = append(c.broken, text)
	default:
		c.count("whole")
		c.say("request %s (%s) sent to %s at %.3f: whole", id, path, g.name, sent)
	}
}

// crashInAnswer kills plain replicas while they write answers, as the case of review/5 says.
func crashInAnswer(r *record) []string {
	const (
		length   = 90 * time.Second // of the traffic
		firstAt  = 3 * time.Second
		interval = 3 * time.Second
		down     = 2 * time.Second // until another replica starts in place of the one that crashed
		share    = 0.05            // of the answers lack a length
		callers  = 24
	)
	f := newFleet(r, 3, 1)
	defer f.end()
	f.configure(streamDocument(1))
	args := []string{"-unframed", fmt.Sprint(share), "-work", "200ms", "-pieces", "8", "-slots", "30"}
	for _, g := range f.gateways {
		f.addEngine("web", g.zone, "", args...)
		f.addEngine("web", g.zone, "", args...)
	}
	for _, g := range f.gateways {
		f.start(g, "8s")
	}
	f.waitReady(10 * time.Second)
	time.Sleep(2 * time.Second)
	o := newOutcomes()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	begun := time.Now()
	var group sync.WaitGroup
	for range callers {
		c := &plainCaller{fleet: f, client: client, outcomes: o}
		group.Go(func() {
			for time.Since(begun) < length {
				c.send(f.gateways[rand.IntN(len(f.gateways))], []string{"/safe/x", "/unsafe/x"}[rand.IntN(2)])
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	for at := firstAt; *trouble && at < length-interval; at += interval {
		time.Sleep(time.Until(begun.Add(at)))
		list := f.all("web", "")
		e := list[rand.IntN(len(list))]
		f.crash(e)
		time.Sleep(down)
		f.addEngine("web", e.zone, "", args...)
	}
	group.Wait()
	r.say("outcomes: %v", o.counts)
	fmt.Println("outcomes:", o.counts)
	return o.broken
}
