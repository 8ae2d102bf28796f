//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// quietTime is how long the fleet runs before the disruption, until nothing changes in the store.
	quietTime = 9 * time.Second
	// outageTime is how long the store is down.
	outageTime = time.Second
	// removalDelay is from the end of the outage until the endpoint leaves.
	removalDelay = contactTime + 2*time.Second
	// lingerTime is how long an endpoint that leaves serves beyond drainTime before it ends.
	lingerTime = 150 * time.Millisecond
	workTime   = 60 * time.Millisecond
	unsafePath = "/unsafe/x"
)

// removal takes an endpoint away some seconds after the store was down for a moment. The endpoint never says that it
// drains: its entry goes, it serves on for as long as it has to and a little longer, and ends.
func removal(f *fleet, trouble bool) (findings []string, err error) {
	leaving := f.addEndpoint("web-1", "web", "zone-a", workTime)
	f.addEndpoint("web-2", "web", "zone-b", workTime)
	f.addEndpoint("web-3", "web", "zone-c", workTime)
	f.store.Configure(newDocument(1, "web"))
	if err := f.start(unsafePath); err != nil {
		return nil, err
	}
	time.Sleep(quietTime)
	if trouble {
		f.record.note("the store is down: connections are reset")
		for _, g := range f.gateways {
			g.proxy.setDown(true)
		}
		time.Sleep(outageTime)
		for _, g := range f.gateways {
			g.proxy.setDown(false)
		}
		f.record.note("the store is back")
	}
	ctx, cancel := context.WithCancel(context.Background())
	wait := f.load(ctx, unsafePath, 40*time.Millisecond)
	time.Sleep(removalDelay)
	leaving.Deregister(f.store)
	removed := time.Now()
	f.record.note("the store has removed the entry of web-1")
	time.Sleep(drainTime + lingerTime)
	leaving.Close()
	f.record.note("web-1 has ended")
	time.Sleep(time.Second)
	cancel()
	wait()
	late, lost := 0, 0
	for _, a := range leaving.Arrivals() {
		if !a.At.After(removed.Add(drainTime)) {
			continue
		}
		late++
		c := f.record.calls[a.Request]
		f.record.note("late: %s reached web-1 %d ms after its removal; %s", a.Request, a.At.Sub(removed).Milliseconds(), c.outcome())
		if c.Err != nil || c.Status != http.StatusOK {
			lost++
		}
	}
	if late > 0 {
		findings = append(findings, fmt.Sprintf("DRAIN: %d requests reached the endpoint more than %v after it was gone; %d of them, which may run only once, were lost with it", late, drainTime, lost))
	}
	return findings, nil
}
