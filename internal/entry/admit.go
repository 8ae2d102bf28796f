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
	// answerSlack is how much longer than a request's budget its entry waits
	// for the dispatcher's answer, which comes at the end of it at the latest.
	answerSlack = 150 * time.Millisecond
	movedPause  = 40 * time.Millisecond
)

// routes returns the cells that may serve a request: those of the own zone,
// the one with more headroom of two taken at random first, then the best of
// the other zones.
func (e *Entry) routes(serves string) []route {
	status := map[catalog.Cell]member.CellStatus{}
	var foreign []member.CellStatus
	for _, s := range e.options.Cells() {
		status[s.Cell] = s
		if s.Cell.Serves == serves && s.Cell.Zone != e.options.Zone && s.Digest.Free > 0 {
			foreign = append(foreign, s)
		}
	}
	own := slices.Clone(e.options.Catalog().CellsOf(e.options.Zone, serves))
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	if len(own) >= 2 && status[own[1]].Digest.Free > status[own[0]].Digest.Free {
		own[0], own[1] = own[1], own[0]
	}
	var all []route
	for _, name := range own {
		if to, ok := e.options.Dispatcher(name); ok {
			all = append(all, route{cell: name, address: to})
		}
	}
	rand.Shuffle(len(foreign), func(i, j int) { foreign[i], foreign[j] = foreign[j], foreign[i] })
	slices.SortStableFunc(foreign, func(a, b member.CellStatus) int { return b.Digest.Free - a.Digest.Free })
	for _, s := range foreign[:min(len(foreign), 2)] {
		all = append(all, route{cell: s.Cell, address: s.Address})
	}
	return all
}

// admit asks the request's cells in turn until one grants. On refusal it
// returns the attempt of the last cell, already over, with the outcome.
func (e *Entry) admit(ctx context.Context, r *request, number int) (*attempt, Outcome) {
	last := refused(reasonNoCell, defaultRetryAfter)
	for i, to := range e.routes(r.kind.Serves) {
		if i > 0 && r.left() <= 0 {
			break
		}
		a := e.newAttempt(ctx, r, to, cell.NewAttemptID(r.ID, number+i))
		outcome := e.await(ctx, r, a, to)
		if outcome.Result == Answered {
			return a, outcome
		}
		e.close(a)
		if outcome.Result == CallerGone || outcome.Reason == cell.ReasonRetryBudget {
			return nil, outcome
		}
		last = outcome
	}
	return nil, last
}

func (e *Entry) newAttempt(ctx context.Context, r *request, to route, id cell.AttemptID) *attempt {
	a := &attempt{tbt: r.class.TBT, answer: make(chan any, 4)}
	a.ask = cell.Ask{
		Cell: to.cell, Attempt: id, Request: r.ID, Owner: e.options.Owner, Workspace: r.Workspace,
		Kind: r.Kind, Class: r.workspace.Class, Tokens: r.Tokens, Blocks: r.Blocks,
		MaxTokens: r.MaxTokens, Budget: r.left(), Avoid: slices.Concat(r.avoid, e.closed()), Retry: r.tried > 0,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	e.attempts.add(a, e.options.Now())
	return a
}

// closed are the endpoints that want no requests from this process. Dispatchers on
// others may not know.
func (e *Entry) closed() []string {
	list := e.options.Notices.All(e.options.Now())
	if len(list) == 0 {
		return nil // as nearly always
	}
	var names []string
	for name, p := range e.options.Catalog().Endpoints {
		if slices.Contains(list, p.Address) {
			names = append(names, name)
		}
	}
	return names
}

// close ends an attempt; whatever still comes for it is late.
func (e *Entry) close(a *attempt) {
	e.attempts.remove(a.ask.Attempt)
	a.cancel(nil)
}

// await sends the ask and waits for its answer. Answered stands for granted.
func (e *Entry) await(ctx context.Context, r *request, a *attempt, to route) Outcome {
	e.send(to.address, dispatcher.TopicAsk, a.ask)
	timer := time.NewTimer(max(r.left(), 0) + answerSlack)
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
				time.Sleep(movedPause)
				e.askAgain(r, a, to)
			case cell.Unknown:
				e.askAgain(r, a, to)
			}
		case <-ctx.Done():
			e.tell(a, cell.Progress{Phase: cell.Withdrawn})
			return Outcome{Result: CallerGone}
		case <-timer.C:
			e.tell(a, cell.Progress{Phase: cell.Withdrawn})
			return refused(reasonNoAnswer, defaultRetryAfter)
		}
	}
}

func (e *Entry) askAgain(r *request, a *attempt, to route) {
	a.ask.Budget = r.left()
	if address, ok := e.address(to.cell); ok {
		e.send(address, dispatcher.TopicAsk, a.ask)
	}
}
