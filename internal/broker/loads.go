package broker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/placement"
)

const (
	// loadsPause is how often a young instance looks whether it is to plan.
	loadsPause = 50 * time.Millisecond
	// loadsWait bounds one engine's answer; its word is some hundred ms old.
	loadsWait = 300 * time.Millisecond
	// loadsAtOnce is how many engines are asked at a time.
	loadsAtOnce = 16
)

// learnLoads asks the engines of the own zone once what they work on, if this
// instance is to plan for them while it is young: those who are gone may have
// left work there, of which no announcement tells.
func (b *Broker) learnLoads(ctx context.Context) {
	for b.Now().Sub(b.began) < young {
		engines := b.engines()
		if len(engines) > 0 && b.amongPlanners() {
			b.askEngines(ctx, engines)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadsPause):
		}
	}
}

// engines are those of the own zone.
func (b *Broker) engines() []directory.Endpoint {
	v := b.Directory.View()
	if v.Table == nil {
		return nil
	}
	var list []directory.Endpoint
	for name, endpoints := range v.Endpoints {
		service := v.Table.Service(name)
		if service == nil || service.Engine == nil {
			continue
		}
		for _, e := range endpoints {
			if e.Zone == b.Zone {
				list = append(list, *e)
			}
		}
	}
	return list
}

// amongPlanners says whether this instance is the planner or the one after it.
func (b *Broker) amongPlanners() bool {
	ranked := b.Roster.Ranked(b.Zone, "planner")
	for _, i := range ranked[:min(len(ranked), backups)] {
		if i.Name == b.Name {
			return true
		}
	}
	return false
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

// Load asks one engine what it works on.
type Load func(ctx context.Context, e directory.Endpoint) (placement.Loaded, error)
