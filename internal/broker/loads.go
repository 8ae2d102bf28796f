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
	// loadsPause is how often a young instance looks whether it is to plan.
	loadsPause = 50 * time.Millisecond
	// loadsWait bounds one engine's answer, a report that is some hundred ms old.
	loadsWait = 300 * time.Millisecond
	// loadsAtOnce is how many engines are asked at a time.
	loadsAtOnce = 16
	// loadAgain is how long an engine is not asked again: its report is nearly a
	// second old, and each question has a price.
	loadAgain = 500 * time.Millisecond
)

// learnLoads asks the engines of the own zone once what they work on, if this
// instance is to plan for them while it is young: those who are gone may have
// left work there, of which no announcement tells.
func (b *Broker) learnLoads(ctx context.Context) {
	for ctx.Err() == nil && b.Now().Sub(b.began) < young {
		var engines []directory.Endpoint
		for e := range b.Directory.View().Engines(b.Zone) {
			engines = append(engines, *e)
		}
		// The planner and the one after it ask.
		if place, known := b.Roster.Rank(b.Zone, rolePlanner, b.Name); known && place < backups && len(engines) > 0 {
			b.askEngines(ctx, engines)
			return
		}
		ticker.Sleep(ctx, loadsPause)
	}
}

func (b *Broker) askEngines(ctx context.Context, engines []directory.Endpoint) {
	turns := make(chan struct{}, loadsAtOnce)
	var group sync.WaitGroup
	var known atomic.Int64
	for _, e := range engines {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			ctx, cancel := context.WithTimeout(ctx, loadsWait)
			defer cancel()
			loaded, err := b.Load(ctx, e)
			if err != nil {
				b.Scope.Counter("loads_unanswered").Inc(1) // it is judged by its answers
				return
			}
			b.apply(loaded)
			known.Add(1)
		})
	}
	group.Wait()
	b.Log.Write(eventlog.Line{Event: eventlog.Believed, Outcome: "loads_learned", Zone: b.Zone, Count: known.Load()})
}

// released takes places back. An engine that turned a request away, though this
// planner estimated with room there, works for somebody that this planner does not
// hear, so it is asked what it holds.
func (b *Broker) released(r placement.Release) {
	b.apply(r)
	if r.Full == "" {
		return
	}
	for e := range b.Directory.View().Engines(b.Zone) {
		if e.ID == r.Full && e.Stage != directory.Prefill && b.mayAskLoad(e.ID) {
			go b.askEngines(context.Background(), []directory.Endpoint{*e}) // ends within loadsWait
		}
	}
}

// mayAskLoad says whether an engine was not asked for a while, and notes that it
// is asked now.
func (b *Broker) mayAskLoad(engine string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	for id, at := range b.loadAt {
		if now.Sub(at) >= loadAgain {
			delete(b.loadAt, id)
		}
	}
	if _, asked := b.loadAt[engine]; asked {
		return false
	}
	b.loadAt[engine] = now
	return true
}

// Load asks one engine what it works on.
type Load func(ctx context.Context, e directory.Endpoint) (placement.Loaded, error)
