package broker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/ticker"
)

const (
	// plannerCheckInterval is how often a recently started instance checks whether it is to
	// plan.
	plannerCheckInterval = 50 * time.Millisecond
	// loadTimeout bounds one engine's answer, a report that is some hundred ms old.
	loadTimeout = 300 * time.Millisecond
	// maxConcurrentLoads bounds the number of engines asked at a time.
	maxConcurrentLoads = 16
	// minLoadInterval is how long an engine is not asked again: its report is nearly a
	// second old, and each request for it has a cost.
	minLoadInterval = 500 * time.Millisecond
)

// fetchInitialLoads fetches the load of the engines in this instance's zone once each, if this
// instance becomes a planner candidate soon after its start: instances that are gone may
// have left work there that nobody announces. A large fleet's engines become known one by one.
func (b *Broker) fetchInitialLoads(ctx context.Context) {
	asked := map[string]bool{}
	for ctx.Err() == nil && b.Now().Sub(b.startedAt) < startupPeriod {
		// The planner and its successor ask.
		if rank, known := b.Roster.Rank(b.Zone, rolePlanner, b.Name); known && rank < plannerCandidates {
			var engines []directory.Endpoint
			for e := range b.Directory.View().Engines(b.Zone) {
				if !asked[e.ID] {
					asked[e.ID] = true
					engines = append(engines, *e)
				}
			}
			if len(engines) > 0 {
				b.fetchLoads(ctx, engines)
			}
		}
		ticker.Sleep(ctx, plannerCheckInterval)
	}
}

func (b *Broker) fetchLoads(ctx context.Context, engines []directory.Endpoint) {
	slots := make(chan struct{}, maxConcurrentLoads)
	var group sync.WaitGroup
	var known atomic.Int64
	for _, e := range engines {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			loaded, err := b.FetchLoad(ctx, e)
			if err != nil {
				b.Scope.Counter("loads_unanswered").Inc(1) // its load is then known from its responses
				return
			}
			b.handleEvent(loaded)
			known.Add(1)
		})
	}
	group.Wait()
	b.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "loads_learned", Zone: b.Zone, Count: known.Load()})
}

// handleRelease frees places. An engine that rejected a request although this planner
// estimated that it had room has work from instances that this planner does not receive
// announcements of, so it is asked for its load.
func (b *Broker) handleRelease(r placement.Release) {
	b.handleEvent(r)
	if r.FullEngine == "" {
		return
	}
	for e := range b.Directory.View().Engines(b.Zone) {
		if e.ID == r.FullEngine && e.Stage != directory.Prefill && b.allowLoadRequest(e.ID) {
			go b.fetchLoads(context.Background(), []directory.Endpoint{*e}) // bounded by loadTimeout
		}
	}
}

// allowLoadRequest reports whether an engine may be asked for its load now, and if so
// records the request.
func (b *Broker) allowLoadRequest(engine string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	for id, at := range b.loadRequestedAt {
		if now.Sub(at) >= minLoadInterval {
			delete(b.loadRequestedAt, id)
		}
	}
	if _, recent := b.loadRequestedAt[engine]; recent {
		return false
	}
	b.loadRequestedAt[engine] = now
	return true
}

// FetchLoadFunc requests the current load of one engine.
type FetchLoadFunc func(ctx context.Context, e directory.Endpoint) (placement.LoadReport, error)
