package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/internal/dispatcher"
	"github.com/trailshed/trailshed/internal/member"
)

const (
	// answerSlack is how much longer than the remaining budget of a request an
	// entry waits for the dispatcher, which answers at the end of the budget at
	// the latest.
	answerSlack     = 150 * time.Millisecond
	movedRetryDelay = 40 * time.Millisecond
)

// candidates returns the cells to ask for a request, in order. Cells of the own
// zone come first, shuffled, and the first is the one with more free capacity of
// two random ones. Then follow the two cells of other zones with the most free
// capacity.
func (e *Entry) candidates(serves string) []candidate {
	status := map[catalog.Cell]member.CellStatus{}
	var otherZones []member.CellStatus
	for _, s := range e.options.Cells() {
		status[s.Cell] = s
		if s.Cell.Serves == serves && s.Cell.Zone != e.options.Zone && s.Headroom.Free > 0 {
			otherZones = append(otherZones, s)
		}
	}
	ownZone := slices.Clone(e.options.Catalog().CellsOf(e.options.Zone, serves))
	rand.Shuffle(len(ownZone), func(i, j int) { ownZone[i], ownZone[j] = ownZone[j], ownZone[i] })
	if len(ownZone) >= 2 && status[ownZone[1]].Headroom.Free > status[ownZone[0]].Headroom.Free {
		ownZone[0], ownZone[1] = ownZone[1], ownZone[0]
	}
	var list []candidate
	for _, name := range ownZone {
		if to, ok := e.options.Dispatcher(name); ok {
			list = append(list, candidate{cell: name, address: to})
		}
	}
	rand.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	slices.SortStableFunc(otherZones, func(a, b member.CellStatus) int { return b.Headroom.Free - a.Headroom.Free })
	for _, s := range otherZones[:min(len(otherZones), 2)] {
		list = append(list, candidate{cell: s.Cell, address: s.Address})
	}
	return list
}

// admit asks the candidate cells in turn until one grants the attempt. If none
// does, it returns no attempt and the outcome of the last cell asked.
func (e *Entry) admit(ctx context.Context, r *request, number int) (*attempt, Outcome) {
	last := refused(reasonNoCell, defaultRetryAfter)
	for i, to := range e.candidates(r.kind.Serves) {
		if i > 0 && r.remaining() <= 0 {
			break
		}
		a := e.newAttempt(ctx, r, to, cell.NewAttemptID(r.ID, number+i))
		outcome := e.requestGrant(ctx, r, a, to)
		if outcome.Result == Answered {
			return a, outcome
		}
		e.endAttempt(a)
		if ctx.Err() != nil || outcome.Reason == cell.ReasonRetryBudget {
			return nil, outcome
		}
		last = outcome
	}
	return nil, last
}

func (e *Entry) newAttempt(ctx context.Context, r *request, to candidate, id cell.AttemptID) *attempt {
	a := &attempt{tbt: r.class.TBT, answer: make(chan any, 4)}
	a.request = cell.AttemptRequest{
		Cell: to.cell, Attempt: id, Request: r.ID, Owner: e.options.Owner, Workspace: r.Workspace,
		Kind: r.Kind, Class: r.workspace.Class, Tokens: r.Tokens, Blocks: r.Blocks,
		MaxTokens: r.MaxTokens, Budget: r.remaining(), Avoid: slices.Concat(r.avoid, e.unavailableEndpoints()), Retry: r.possibleRuns > 0,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	e.attempts.add(a, e.options.Now())
	return a
}

// unavailableEndpoints returns the names of the endpoints that accept no requests
// from this process at present. Dispatchers on other instances may not know of them.
func (e *Entry) unavailableEndpoints() []string {
	list := e.options.Notices.All(e.options.Now())
	if len(list) == 0 {
		return nil // the common case
	}
	var names []string
	for name, p := range e.options.Catalog().Endpoints {
		if slices.Contains(list, p.Address) {
			names = append(names, name)
		}
	}
	return names
}

// endAttempt removes an attempt and cancels its context. Messages that arrive for
// it later are ignored.
func (e *Entry) endAttempt(a *attempt) {
	e.attempts.remove(a.request.Attempt)
	a.cancel(nil)
}

// requestGrant sends the attempt's request to the dispatcher and waits for the answer.
// The result Answered means that the attempt was granted.
func (e *Entry) requestGrant(ctx context.Context, r *request, a *attempt, to candidate) Outcome {
	e.send(to.address, dispatcher.TopicRequest, a.request)
	timer := time.NewTimer(max(r.remaining(), 0) + answerSlack)
	defer timer.Stop()
	for {
		select {
		case answer := <-a.answer:
			switch answer := answer.(type) {
			case cell.Grant:
				return Outcome{Result: Answered}
			case cell.Refusal:
				if answer.Reason != cell.ReasonMoved {
					return refused(answer.Reason, answer.RetryAfter)
				}
				time.Sleep(movedRetryDelay)
				e.resendRequest(r, a, to)
			case cell.UnknownAttempts:
				e.resendRequest(r, a, to)
			}
		case <-ctx.Done():
			e.reportProgress(a, cell.Progress{Phase: cell.Withdrawn})
			if isLeaving(ctx) {
				return LeavingOutcome()
			}
			return Outcome{Result: CallerGone}
		case <-timer.C:
			e.reportProgress(a, cell.Progress{Phase: cell.Withdrawn})
			return refused(reasonDispatcherSilent, defaultRetryAfter)
		}
	}
}

// resendRequest sends the attempt's request again, with the remaining budget, to the
// current dispatcher of the cell.
func (e *Entry) resendRequest(r *request, a *attempt, to candidate) {
	a.request.Budget = r.remaining()
	if address, ok := e.address(to.cell); ok {
		e.send(address, dispatcher.TopicRequest, a.request)
	}
}
