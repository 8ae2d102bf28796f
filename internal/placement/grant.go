package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/pkg/clock"
)

// ask answers an ask: with places, with a refusal, or by having it wait.
func (p *Planner) ask(now clock.Millis, a Ask) {
	if p.places[a.ID] != nil {
		return
	}
	if p.over[a.ID] != 0 {
		p.refuse(a, ReasonMoved, comeBackLeast)
		return
	}
	p.owners[a.Owner] = now
	reason := ReasonFull
	if !a.Late || !p.inTimeWaits(now, a.Service) {
		reason = p.place(now, a)
	}
	if reason == "" {
		return
	}
	wait, possible := p.predict(now, a)
	if !possible || reason == ReasonNoPrefill {
		p.refuse(a, reason, comeBackLeast)
		return
	}
	if !p.wait(now, a, wait) {
		p.refuse(a, reason, wait)
		return
	}
	p.effects = append(p.effects, Answer{ID: a.ID, Owner: a.Owner, Verdict: Verdict{Queued: true}})
}

// decoder returns the decode engine with the most room, of those that may be
// taken.
func (p *Planner) decoder(now clock.Millis, a Ask, t trust, may func(*engine) bool) (*engine, string) {
	if a.Once {
		t = sound
	}
	need := p.need(a)
	var best *engine
	least, risk := 0.0, false
	list := p.open(now, a, t, func(s directory.Stage) bool { return s != directory.Prefill })
	for _, e := range list {
		if !may(e) {
			continue
		}
		used := p.used(now, e)
		if a.Late && used > 0 {
			// Room for one more is left for whoever comes next and may be in time.
			used += p.usualSize(e)
		}
		if used+need > e.capacity && used > 0 || len(e.places) >= e.slots {
			continue
		}
		share, risky := float64(used)/float64(max(e.capacity, 1)), a.Once && e.failures > onceMost
		if best == nil || risk && !risky || risk == risky && before(share, least, e, best) {
			best, least, risk = e, share, risky
		}
	}
	switch {
	case best != nil:
		return best, ""
	case len(list) == 0 && !p.known(a, directory.Decode):
		return nil, ReasonNoEndpoint
	default:
		return nil, ReasonFull
	}
}

// reader returns the prefill engine that is free the soonest, if that is soon
// enough.
func (p *Planner) reader(now clock.Millis, a Ask, t trust) (*engine, string) {
	var best *engine
	var least time.Duration
	for _, e := range p.open(now, a, t, func(s directory.Stage) bool { return s == directory.Prefill }) {
		if wait := p.backlog(now, e); best == nil || before(wait, least, e, best) {
			best, least = e, wait
		}
	}
	switch {
	case best == nil && p.known(a, directory.Prefill):
		return nil, ReasonBusy
	case best == nil:
		return nil, ReasonNoPrefill
	case a.Late && least > 0: // it takes only what those leave who can be in time
		return nil, ReasonBusy
	case least+p.least(a) > a.Budget && !a.Late:
		return nil, ReasonBusy
	default:
		return best, ""
	}
}

// before says whether e, of a figure, comes before best, of figure least. Equals go
// by their turns, so that the same events bring the same grants, and planners that
// do not hear each other, as in the half second after the loss of everything, do not
// all choose the same.
func before[T cmp.Ordered](figure, least T, e, best *engine) bool {
	return figure < least || figure == least && e.turn < best.turn
}

// known says whether any engine of a stage may ever serve a request.
func (p *Planner) known(a Ask, stage directory.Stage) bool {
	for _, e := range p.engines {
		if e.serves(a) && (e.Stage == directory.Prefill) == (stage == directory.Prefill) {
			return true
		}
	}
	return false
}

// open returns the engines that may be used: those that are trusted, or all that
// are not full if none is.
func (p *Planner) open(now clock.Millis, a Ask, t trust, fits func(directory.Stage) bool) []*engine {
	var all, trusted []*engine
	for _, e := range p.engines {
		if !e.serves(a) || !fits(e.Stage) {
			continue
		}
		all = append(all, e)
		if e.trusted(now, a, t) {
			trusted = append(trusted, e)
		}
	}
	if len(trusted) == 0 {
		trusted = all
	}
	trusted = slices.DeleteFunc(trusted, func(e *engine) bool { return e.full > now })
	return trusted
}

// predict is how long until some engine has room for a request and for those
// that wait; false if none can have.
func (p *Planner) predict(now clock.Millis, a Ask) (time.Duration, bool) {
	read := time.Duration(0)
	switch a.Part {
	case ReadOnly:
		read = p.leastBacklog(now, a)
	case Both:
		read = min(p.leastBacklog(now, a), p.leastOwnRead(now, a))
	case DecodeOnly, Whole:
	}
	if a.Part == ReadOnly {
		return read, p.known(a, directory.Prefill)
	}
	need := p.need(a)
	for _, w := range p.queue {
		if w.ask.Service == a.Service && w.ask.ID != a.ID {
			need += w.need
		}
	}
	room, found := p.roomAfter(now, a, need)
	return max(room, read), found
}

// leastBacklog is how long until some prefill engine is free.
func (p *Planner) leastBacklog(now clock.Millis, a Ask) time.Duration {
	least, found := time.Duration(0), false
	for _, e := range p.engines {
		if e.Stage != directory.Prefill || !e.serves(a) {
			continue
		}
		if wait := p.backlog(now, e); !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

func (p *Planner) refuse(a Ask, reason string, after time.Duration) {
	after = min(max(after, comeBackLeast), comeBackMost)
	p.effects = append(p.effects, Answer{ID: a.ID, Owner: a.Owner, Verdict: Verdict{
		Refusal: &Refusal{ID: a.ID, Reason: reason, After: after},
	}})
}

func (p *Planner) hold(e *engine, h *place) {
	p.places[h.ask.ID] = h
	if e == nil {
		return
	}
	if e.places == nil {
		e.places = map[string]*place{}
	}
	e.places[h.ask.ID] = h
}

// place grants a request if there is room for it now; else it says why not. Only
// where sound engines have no room is it given to one that failed lately.
func (p *Planner) place(now clock.Millis, a Ask) (reason string) {
	reason = p.placeAt(now, a, sound)
	if reason != ReasonFull && reason != ReasonBusy || a.Final || !p.someFail(now, a) {
		return reason
	}
	if p.placeAt(now, a, doubtful) == "" {
		return ""
	}
	return reason
}

// placeAt is the same for engines of a trust.
func (p *Planner) placeAt(now clock.Millis, a Ask, t trust) (reason string) {
	var decode, reader *engine
	if a.Part != ReadOnly {
		if decode, reason = p.decoder(now, a, t, anyEngine); decode == nil {
			return reason
		}
	}
	if a.Part == Both || a.Part == ReadOnly {
		reader, reason = p.reader(now, a, t)
		if own := p.readingDecoder(now, a, t, decode, reader, reason); own != nil {
			decode, reader, reason = own, nil, ""
		}
		if reason != "" {
			return reason
		}
	}
	p.grant(now, a, decode, reader)
	return ""
}

func anyEngine(*engine) bool { return true }

// grant gives a request its engines, either of which may be nil. A decode engine
// without a reader beside it reads the prompt itself, if that is asked for too.
func (p *Planner) grant(now clock.Millis, a Ask, decode, reader *engine) {
	g := Grant{ID: a.ID}
	h := &place{ask: a, granted: now}
	if decode != nil {
		act := decodeAct(a.Part, reader != nil)
		g.Decode, g.Used, g.Length = decode.ID, p.used(now, decode), p.length(a)
		g.Begin = p.paces.Likely(act, a.Service, decode.ID, a.Prompt)
		h.step = p.paces.Step(a.Service, decode.ID, len(decode.places))
		if act == pace.Whole {
			decode.ownRead = now.Add(g.Begin)
		}
	}
	if reader != nil {
		g.Prefill, g.Wait = reader.ID, p.backlog(now, reader)
		g.Read = p.readTime(a.Service, reader.ID, a.Prompt)
		reader.read(now, a.ID, p.turnTime(a.Service, reader.ID, a.Prompt))
	}
	for _, e := range []*engine{decode, reader} {
		if e != nil && now.Sub(e.joined) < newFor {
			g.New = append(g.New, e.Endpoint)
		}
	}
	h.grant, h.begins = g, now.Add(g.Wait+g.Read+g.Begin)
	p.hold(decode, h)
	p.effects = append(p.effects, Answer{ID: a.ID, Owner: a.Owner, Verdict: Verdict{Grant: &g}})
}

// decodeAct is what a decode engine does until the first event: it begins, or it
// reads the prompt itself before, where no other engine does.
func decodeAct(part Part, reader bool) pace.Act {
	if part == Whole || part == Both && !reader {
		return pace.Whole
	}
	return pace.Begin
}
