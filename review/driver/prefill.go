//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/trailshed/trailshed/platform/standin"
)

const (
	// readTime is how long a prompt is read, and slowReadTime how long while its engine is slow.
	readTime     = 450 * time.Millisecond
	slowReadTime = 2400 * time.Millisecond
	// warmUpCalls teach the planners how long a prompt is read.
	warmUpCalls = 8
	// batch is the number of requests that are sent before the engine leaves, and batchLead how long before.
	batch     = 6
	batchLead = 100 * time.Millisecond
	// engineLingerTime is how long the engine serves beyond drainTime before it ends: a stream that it is sent in time
	// takes 1.25 s.
	engineLingerTime = 1300 * time.Millisecond
	oncePath         = "/once/x" + standin.SlowPath
)

// prefill lets a decode engine drain while the prompts of requests that are placed there are read by an engine that is
// slow. The streams of these requests may run only once.
func prefill(f *fleet, trouble bool) (findings []string, err error) {
	var readers, decoders []*standin.Endpoint
	for _, zone := range zones {
		readers = append(readers, f.addEngine("read-"+zone, zone, "prefill", readTime))
		for n := range 2 {
			decoders = append(decoders, f.addEngine(fmt.Sprintf("decode-%s-%d", zone, n+1), zone, "decode", 0))
		}
	}
	reader, leaving := readers[0], decoders[0]
	near := []*gateway{f.gateways[0], f.gateways[len(zones)]} // of the same zone
	f.store.Configure(newDocument(1, "web"))
	if err := f.start(oncePath); err != nil {
		return nil, err
	}
	for range warmUpCalls {
		f.send(near[0], oncePath)
	}
	time.Sleep(quietTime / 3)
	if trouble {
		reader.SetBehaviour(standin.Behaviour{Delay: slowReadTime})
		f.record.note("%s takes %v for a prompt instead of %v", reader.ID, slowReadTime, readTime)
	}
	var group sync.WaitGroup
	for n := range batch {
		group.Go(func() { f.send(near[n%len(near)], oncePath) })
	}
	time.Sleep(batchLead)
	leaving.Register(f.store, "draining")
	left := time.Now()
	f.record.note("the store has accepted that %s drains", leaving.ID)
	time.Sleep(drainTime + engineLingerTime)
	leaving.Close()
	f.record.note("%s has ended", leaving.ID)
	group.Wait()
	late, lost := 0, 0
	for _, a := range leaving.Arrivals() {
		if !a.At.After(left.Add(drainTime)) {
			continue
		}
		late++
		c := f.record.calls[a.Request]
		f.record.note("late: %s reached %s %d ms after it drained; %s", a.Request, leaving.ID, a.At.Sub(left).Milliseconds(), c.outcome())
		if c.Err != nil || c.Status != http.StatusOK {
			lost++
		}
	}
	if late > 0 {
		findings = append(findings, fmt.Sprintf("DRAIN: %d requests reached the engine more than %v after it drained; %d of their streams, which may run only once, were lost with it", late, drainTime, lost))
	}
	return findings, nil
}

// addEngine starts an engine, whose prompts take a time to read, and registers it.
func (f *fleet) addEngine(id, zone, stage string, work time.Duration) *standin.Endpoint {
	e := standin.NewEndpoint(id, "llm", zone, stage)
	e.SetBehaviour(standin.Behaviour{Delay: work})
	e.Register(f.store, "ready")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append(f.endpoints, e)
	return e
}
