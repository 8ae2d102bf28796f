package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

// attempt is one try at a request, from the ask to its end.
type attempt struct {
	ask    cell.Ask
	tbt    time.Duration
	answer chan any // cell.Grant, cell.Refusal or cell.Unknown
	ctx    context.Context
	cancel context.CancelCauseFunc
	ran    bool // an endpoint computed something of it

	mu      sync.Mutex
	granted bool
	grant   cell.Grant
	phase   cell.Phase
}

func (a *attempt) running() (cell.Running, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cell.Running{
		Attempt: a.ask.Attempt, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode,
		Workspace: a.ask.Workspace, Kind: a.ask.Kind, Tokens: a.ask.Tokens, TBT: a.tbt,
	}, a.granted
}

func (a *attempt) reach(p cell.Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = p
}

// addressOf is where one of the attempt's endpoints is.
func (a *attempt) addressOf(name string) netip.AddrPort {
	if name == a.grant.Prefill {
		return a.grant.PrefillAddr
	}
	return a.grant.DecodeAddr
}

// attempts is all attempts of this entry.
type attempts struct {
	mu   sync.Mutex
	all  map[cell.AttemptID]*attempt
	used map[catalog.Cell]clock.Millis // cells that were asked lately
}

func newAttempts() *attempts {
	return &attempts{all: map[cell.AttemptID]*attempt{}, used: map[catalog.Cell]clock.Millis{}}
}

func (as *attempts) add(a *attempt, now clock.Millis) {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.all[a.ask.Attempt] = a
	as.used[a.ask.Cell] = now
}

func (as *attempts) remove(id cell.AttemptID) {
	as.mu.Lock()
	defer as.mu.Unlock()
	delete(as.all, id)
}

func (as *attempts) find(id cell.AttemptID) *attempt {
	as.mu.Lock()
	defer as.mu.Unlock()
	return as.all[id]
}

func (as *attempts) count() int {
	as.mu.Lock()
	defer as.mu.Unlock()
	return len(as.all)
}

// cellMemory is how long a cell hears announcements after its last attempt.
const cellMemory = 5 * time.Second

// announcements returns one announcement for each cell used lately.
func (as *attempts) announcements(now clock.Millis, owner cell.Owner) []cell.Announce {
	as.mu.Lock()
	defer as.mu.Unlock()
	byCell := map[catalog.Cell]*cell.Announce{}
	for name, used := range as.used {
		if now.Sub(used) > cellMemory {
			delete(as.used, name)
			continue
		}
		byCell[name] = &cell.Announce{Cell: name, Owner: owner}
	}
	for _, a := range as.all {
		as.used[a.ask.Cell] = now
		an, ok := byCell[a.ask.Cell]
		if !ok {
			an = &cell.Announce{Cell: a.ask.Cell, Owner: owner}
			byCell[a.ask.Cell] = an
		}
		run, granted := a.running()
		switch {
		case run.Phase.Over():
		case granted:
			an.Running = append(an.Running, run)
		default:
			an.Waiting = append(an.Waiting, a.ask.Attempt)
		}
	}
	all := make([]cell.Announce, 0, len(byCell))
	for _, an := range byCell {
		all = append(all, *an)
	}
	return all
}

// deliver hands a dispatcher's answer to the attempt that waits for it.
func (a *attempt) deliver(answer any) bool {
	select {
	case a.answer <- answer:
		return true
	default:
		return false
	}
}

// take accepts the first grant only.
func (a *attempt) take(g cell.Grant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.granted {
		return false
	}
	a.granted, a.grant, a.phase = true, g, cell.Granted
	return true
}

// route is where a cell's dispatcher is reached.
type route struct {
	cell    catalog.Cell
	address netip.AddrPort
}
