//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// idleTime is after how long without a byte a connection to the store goes silent.
	idleTime = 6 * time.Second
	// settledTime is how long the fleet runs before the change, and maxSettledTime how long at most. By then each
	// instance has given up one watch of the store, 21 s after its begin, and waits on the next.
	settledTime    = 30 * time.Second
	maxSettledTime = 50 * time.Second
	// oldServiceTime is how long the operators keep the old service after the change.
	oldServiceTime = configTime + 500*time.Millisecond
	// watchedTime is how long requests are sent after the change.
	watchedTime = 14 * time.Second
)

// silence moves a route to another service, and then ends the old one, while connections to the store that carry
// nothing for some seconds go silent. Calls on new connections, and on those in use, are answered.
func silence(f *fleet, trouble bool) (findings []string, err error) {
	var old []*standin.Endpoint
	for _, zone := range zones {
		old = append(old, f.addEndpoint("old-"+zone, "web", zone, workTime))
		f.addEndpoint("new-"+zone, "web-next", zone, workTime)
	}
	f.store.Configure(newDocument(1, "web"))
	if err := f.start(unsafePath); err != nil {
		return nil, err
	}
	if trouble {
		for _, g := range f.gateways {
			g.proxy.silenceIdle(idleTime)
		}
		f.record.note("from now on, connections to the store go silent after %v without a byte", idleTime)
	}
	time.Sleep(settledTime)
	if trouble && !f.waitSilent(maxSettledTime-settledTime) {
		return nil, errors.New("the watches of the store did not go silent together")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := f.load(ctx, unsafePath, 50*time.Millisecond)
	f.store.Configure(newDocument(2, "web-next"))
	changed := time.Now()
	f.record.note("the store has accepted configuration 2: the route leads to the new service")
	time.Sleep(oldServiceTime)
	for _, e := range old {
		e.Register(f.store, "draining")
	}
	f.record.note("the endpoints of the old service say that they drain")
	time.Sleep(drainTime + lingerTime)
	for _, e := range old {
		e.Close()
	}
	f.record.note("the endpoints of the old service have ended")
	time.Sleep(watchedTime - time.Since(changed))
	cancel()
	wait()
	return f.checkChange(old, changed), nil
}

// waitSilent waits until each instance's last silence is as long ago as it takes to be in touch again.
func (f *fleet) waitSilent(most time.Duration) bool {
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		all := true
		for _, g := range f.gateways {
			ago, ok := g.proxy.lastSilence(time.Now())
			all = all && ok && ago >= contactTime+200*time.Millisecond && ago < 2*contactTime
		}
		if all {
			return true
		}
	}
	return false
}

// inTouch reports whether no connection of any instance had gone silent for long enough at a time.
func (f *fleet) inTouch(at time.Time) bool {
	for _, g := range f.gateways {
		if ago, ok := g.proxy.lastSilence(at); ok && ago < contactTime {
			return false
		}
	}
	return true
}

// checkChange returns what broke the rules after a route was moved away from a service.
func (f *fleet) checkChange(old []*standin.Endpoint, changed time.Time) (findings []string) {
	bound := changed.Add(configTime)
	stale, lost, unserved := 0, 0, 0
	byGateway := map[string]int{}
	var last time.Duration
	for _, e := range old {
		for _, a := range e.Arrivals() {
			c := f.record.calls[a.Request]
			if !a.Ran || !c.at.After(bound) || !f.inTouch(c.at) {
				continue
			}
			stale++
			byGateway[c.gateway]++
			last = max(last, c.at.Sub(changed))
			if c.Err != nil || c.Status != http.StatusOK {
				lost++
			}
		}
	}
	for _, c := range f.record.calls {
		if c.at.After(bound) && (c.Err != nil || c.Status != http.StatusOK) {
			unserved++
		}
	}
	for name, n := range byGateway {
		f.record.note("%s had %d requests run by the old service that were sent over %v after the change", name, n, configTime)
	}
	if stale > 0 {
		findings = append(findings, fmt.Sprintf("CONFIG: %d requests that were sent over %v after the change, the last one after %.1f s, were run by the old service; %d of them, which may run only once, were lost with it; in all %d requests sent after the bound were not served", stale, configTime, last.Seconds(), lost, unserved))
	}
	return findings
}
