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

// attempt is one attempt at running a request, from the request for a grant to
// its end.
type attempt struct {
	request cell.AttemptRequest
	tbt     time.Duration
	answer  chan any // cell.Grant, cell.Refusal or cell.UnknownAttempts
	ctx     context.Context
	cancel  context.CancelCauseFunc
	ran     bool // an endpoint has computed a part of it

	mu      sync.Mutex
	granted bool
	grant   cell.Grant
	phase   cell.Phase
}

// running returns what announcements say of the attempt and whether it was granted.
func (a *attempt) running() (cell.AnnouncedAttempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cell.AnnouncedAttempt{
		Attempt: a.request.Attempt, Phase: a.phase, Prefill: a.grant.Prefill, Decode: a.grant.Decode,
		Workspace: a.request.Workspace, Kind: a.request.Kind, Tokens: a.request.Tokens, TBT: a.tbt,
	}, a.granted
}

func (a *attempt) setPhase(p cell.Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = p
}

// addressOf returns the address of the prefill or decode endpoint of the grant.
func (a *attempt) addressOf(name string) netip.AddrPort {
	if name == a.grant.Prefill {
		return a.grant.PrefillAddr
	}
	return a.grant.DecodeAddr
}

// attempts holds all attempts of this entry that have not ended.
type attempts struct {
	mu       sync.Mutex
	all      map[cell.AttemptID]*attempt
	lastUsed map[catalog.Cell]clock.Millis // when each cell last had an attempt
}

func newAttempts() *attempts {
	return &attempts{all: map[cell.AttemptID]*attempt{}, lastUsed: map[catalog.Cell]clock.Millis{}}
}

func (as *attempts) add(a *attempt, now clock.Millis) {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.all[a.request.Attempt] = a
	as.lastUsed[a.request.Cell] = now
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

// cellIdleTimeout is how long announcements are sent to a cell after its last attempt.
const cellIdleTimeout = 5 * time.Second

// announcements returns one announcement for each cell that has attempts or had one
// within cellIdleTimeout.
func (as *attempts) announcements(now clock.Millis, owner cell.Owner) []cell.Announcement {
	as.mu.Lock()
	defer as.mu.Unlock()
	byCell := map[catalog.Cell]*cell.Announcement{}
	for name, used := range as.lastUsed {
		if now.Sub(used) > cellIdleTimeout {
			delete(as.lastUsed, name)
			continue
		}
		byCell[name] = &cell.Announcement{Cell: name, Owner: owner}
	}
	for _, a := range as.all {
		as.lastUsed[a.request.Cell] = now
		announcement, ok := byCell[a.request.Cell]
		if !ok {
			announcement = &cell.Announcement{Cell: a.request.Cell, Owner: owner}
			byCell[a.request.Cell] = announcement
		}
		run, granted := a.running()
		switch {
		case run.Phase.Ended():
		case granted:
			announcement.Running = append(announcement.Running, run)
		default:
			announcement.Waiting = append(announcement.Waiting, a.request.Attempt)
		}
	}
	all := make([]cell.Announcement, 0, len(byCell))
	for _, announcement := range byCell {
		all = append(all, *announcement)
	}
	return all
}

// deliver passes a dispatcher's answer to the goroutine that waits for it. It returns
// false if the buffer is full.
func (a *attempt) deliver(answer any) bool {
	select {
	case a.answer <- answer:
		return true
	default:
		return false
	}
}

// acceptGrant stores a grant and returns true. It rejects all but the first grant.
func (a *attempt) acceptGrant(g cell.Grant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.granted {
		return false
	}
	a.granted, a.grant, a.phase = true, g, cell.Granted
	return true
}

// candidate is a cell that may serve a request, with the address of its dispatcher.
type candidate struct {
	cell    catalog.Cell
	address netip.AddrPort
}
