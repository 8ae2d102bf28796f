//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// crashInStream kills model replicas while streams are in progress, as the case of review/4 says.
func crashInStream(r *record) []string {
	const (
		length   = 54 * time.Second // of the traffic
		firstAt  = 4 * time.Second
		lastAt   = 46 * time.Second
		interval = 6 * time.Second
		down     = 2 * time.Second // until other replicas start in place of those that crashed
		count    = 2               // of nine replicas crash at a time
		share    = 0.05            // of the answers lack a length
		callers  = 90
		pieces   = 71
	)
	f := newFleet(r, 3, 1)
	defer f.end()
	f.configure(streamDocument(1))
	args := []string{"-unframed", fmt.Sprint(share), "-work", "50ms", "-gap", "30ms"}
	for _, g := range f.gateways {
		f.addEngine("llm", g.zone, "prefill", args...)
		f.addEngine("llm", g.zone, "decode", args...)
		f.addEngine("llm", g.zone, "decode", args...)
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
		c := &streamCaller{fleet: f, client: client, pieces: pieces, outcomes: o}
		group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			for time.Since(begun) < length {
				path := "/stream/x"
				if rand.IntN(3) == 0 {
					path = "/once/x"
				}
				c.send(context.Background(), f.gateways[rand.IntN(len(f.gateways))], path)
			}
		})
	}
	for at := firstAt; *trouble && at <= lastAt; at += interval {
		time.Sleep(time.Until(begun.Add(at)))
		var crashed []*engine
		for range count {
			list := f.all("llm", "decode")
			e := list[rand.IntN(len(list))]
			f.crash(e)
			crashed = append(crashed, e)
		}
		time.Sleep(down)
		for _, e := range crashed {
			f.addEngine("llm", e.zone, e.stage, args...)
		}
	}
	group.Wait()
	r.say("outcomes: %v", o.counts)
	fmt.Println("outcomes:", o.counts)
	return o.broken
}
