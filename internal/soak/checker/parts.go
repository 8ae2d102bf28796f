package checker

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/trailshed/trailshed/internal/soak/caller"
	"github.com/trailshed/trailshed/internal/soak/timeline"
)

const (
	// partCrashes is the number of endpoints crashed on a part of prompts after which all instances
	// must know the part.
	partCrashes = 5
	// minSoundCalls is the number of sound calls from which on their share is compared.
	minSoundCalls = 20
	// minSoundShare is the least share of the sound calls that begin once the part is known, compared
	// with those outside of faults.
	minSoundShare = 0.5
)

// partRuns are the runs of requests with one crashing part.
type partRuns struct {
	part    string
	runs    []Run // in the order of their times
	crashes []Run
	lastAt  time.Time // of the last call
}

// checkParts checks how often requests whose prompts have a crashing part were sent on by instances that
// must know the part, and whether sound requests were served meanwhile.
func (c *Checker) checkParts(byCall map[string][]Run) {
	byPart := map[string]*partRuns{}
	for _, call := range c.calls {
		part := call.Kind.CrashingPart()
		if part == "" {
			if call.Reply.Status == http.StatusServiceUnavailable && strings.Contains(call.Reply.Body, "crashing_part") {
				c.violated("sound requests run", call.ID, call.Ended, "%s holds a part of its prompt, but none crashes engines", call.Gateway.Name)
			}
			continue
		}
		if byPart[part] == nil {
			byPart[part] = &partRuns{part: part}
		}
		p := byPart[part]
		p.runs = append(p.runs, byCall[call.ID]...)
		if call.Sent.After(p.lastAt) {
			p.lastAt = call.Sent
		}
	}
	for _, p := range byPart {
		slices.SortFunc(p.runs, func(a, b Run) int { return a.At.Compare(b.At) })
		for _, r := range p.runs {
			if r.Ran && !r.Prefill {
				p.crashes = append(p.crashes, r)
			}
		}
		c.checkPartSends(p)
		c.checkSoundCalls(p, byCall)
	}
}

func (c *Checker) checkPartSends(p *partRuns) {
	if len(p.crashes) < partCrashes {
		return
	}
	fifth, later := p.crashes[partCrashes-1], 0
	for _, r := range p.runs {
		if r.At.After(fifth.At.Add(c.Bounds.CalmTime+c.Bounds.Slack)) && c.inContact(r) {
			later++
		}
	}
	if later > maxSendsAfter {
		c.violated("crashing parts", p.part, fifth.At, "requests with it were sent %d more times after %d endpoints had crashed; %d crashed in all", later, partCrashes, len(p.crashes))
	}
}

// checkSoundCalls compares the share of sound streams that begin while requests with the part still come
// with that outside of faults.
func (c *Checker) checkSoundCalls(p *partRuns, byCall map[string][]Run) {
	if len(p.crashes) == 0 {
		return
	}
	known := p.crashes[min(len(p.crashes), partCrashes)-1].At.Add(2*c.Bounds.CalmTime + c.Bounds.Slack)
	var during, outside share
	for _, call := range c.calls {
		if call.Kind.Path != caller.PartKind(0).Path || call.BeganAs != "" || !c.comparable(call, byCall[call.ID]) {
			continue
		}
		begun := call.Reply.Status == http.StatusOK && strings.Contains(call.Reply.Body, "\n\n")
		switch {
		case call.Sent.After(known) && call.Sent.Before(p.lastAt):
			during.add(begun)
		case c.Faults.Undisturbed(call.Sent.Add(-c.Bounds.CalmTime), call.Ended, "", timeline.Endpoint):
			outside.add(begun)
		}
	}
	if during.all < minSoundCalls || outside.all < minSoundCalls {
		return
	}
	if float64(during.served)*float64(outside.all) < minSoundShare*float64(outside.served)*float64(during.all) {
		c.violated("sound requests run", p.part, known, "%d of %d began while the part was known, %d of %d without faults", during.served, during.all, outside.served, outside.all)
	}
}
