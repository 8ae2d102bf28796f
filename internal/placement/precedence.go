package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/fairshare"
	"github.com/trailshed/trailshed/internal/route"
	"github.com/trailshed/trailshed/pkg/clock"
)

// LowestPriority is the least urgent priority; 0 is the most urgent.
const LowestPriority = 9

const (
	// kindMemory is the time constant with which what was learned of a kind of request fades:
	// longer than a burst, shorter than a change of demand over the day.
	kindMemory = 10 * time.Second
	// minServedRatio is the fraction of the mean ratio of served requests below which the
	// requests of a kind go first, so that none is starved by more urgent ones.
	minServedRatio = 0.25
	// minKindCount is the number of requests from which a kind's ratio is trusted.
	minKindCount = 8
)

// Rank is an optional priority: the priority plus one, or 0 if it is not known.
type Rank int

// priority returns the priority of a known rank. One out of range counts as the nearest.
func (r Rank) priority() int { return min(max(int(r), 1), LowestPriority+1) - 1 }

// RankOf returns the rank of a priority. One out of range counts as the nearest.
func RankOf(priority int) Rank { return Rank(min(max(priority, 0), LowestPriority) + 1) }

// level orders requests by priority, then by that of the route. It is twice the position in this
// order, so that there is a middle between any two.
type level int

const (
	// starvedLevel is the level of requests of a starved kind.
	starvedLevel level = -1
	// priorityLevels is the number of levels of one priority.
	priorityLevels = 2 * (LowestPriority + 1)
	levels         = priorityLevels * (LowestPriority + 1)
)

func levelFor(priority, routePriority int) level {
	return level(priorityLevels*priority + 2*routePriority)
}

// priority returns the priority of a level.
func (l level) priority() int { return max(int(l), 0) / priorityLevels }

// kind is what a planner learned of a kind of request: those for a service that are equally urgent.
// The counts fade with kindMemory.
type kind struct {
	at      clock.Millis // time of the counts
	granted float64      // requests
	refused float64      // requests that were refused a place in the queue, or in it
	starved bool
}

// kinds are the kinds of a service's requests by level.
type kinds [levels]kind

// fade brings the counts to a time.
func (k *kind) fade(now clock.Millis) {
	if k.at == now {
		return
	}
	factor := math.Exp(-float64(now.Sub(k.at)) / float64(kindMemory))
	k.granted, k.refused, k.at = k.granted*factor, k.refused*factor, now
}

// staticLevel returns the level of a request by its priority. A request without one, from an
// instance of an earlier build, is in the middle of those that its service has.
func (p *Planner) staticLevel(req Request) level {
	if req.Rank > 0 {
		route := req.RouteRank
		if route <= 0 {
			route = req.Rank
		}
		return levelFor(req.Rank.priority(), route.priority())
	}
	if middle, known := p.middle[req.Service]; known {
		return middle
	}
	return levels / 2
}

// levelOf returns the level of a request at the moment.
func (p *Planner) levelOf(req Request) level {
	l := p.staticLevel(req)
	if list := p.kinds[req.Service]; list != nil && list[l].starved {
		return starvedLevel
	}
	return l
}

// kindOf returns what is known of a request's kind, as of now.
func (p *Planner) kindOf(now clock.Millis, req Request) *kind {
	list := p.kinds[req.Service]
	if list == nil {
		list = &kinds{}
		p.kinds[req.Service] = list
	}
	k := &list[p.staticLevel(req)]
	k.fade(now)
	return k
}

// recordOutcome counts a request that was granted or finally refused.
func (p *Planner) recordOutcome(now clock.Millis, req Request, granted bool) {
	if req.Part == PrefillOnly {
		return // counted where it decodes
	}
	k := p.kindOf(now, req)
	if granted {
		k.granted++
	} else {
		k.refused++
	}
	p.updateStarved(now, req.Service)
}

// updateStarved finds the kinds of a service that are served much less often than the mean.
func (p *Planner) updateStarved(now clock.Millis, service string) {
	list := p.kinds[service]
	granted, all := 0.0, 0.0
	for i := range list {
		k := &list[i]
		if k.granted+k.refused == 0 {
			continue // no such requests
		}
		k.fade(now)
		granted += k.granted
		all += k.granted + k.refused
	}
	for i := range list {
		k := &list[i]
		count := k.granted + k.refused
		k.starved = count >= minKindCount && k.granted*all < minServedRatio*granted*count
	}
}

// allocateBehind is allocate for a request that is preceded by waiting ones. Each of these keeps an
// engine, on which it will probably get memory first; the others may be used meanwhile.
func (p *Planner) allocateBehind(now clock.Millis, req Request, waiting []*queuedRequest) (reason string) {
	if len(waiting) == 0 || req.Begun || req.Part == PrefillOnly {
		return p.allocate(now, req)
	}
	decoders := p.freestDecoders(now, req)
	req.Exclude = slices.Clone(req.Exclude)
	for _, w := range waiting {
		n := slices.IndexFunc(decoders, func(e *engine) bool { return e.canServe(w.req) })
		if n < 0 {
			continue
		}
		req.Exclude = append(req.Exclude, decoders[n].ID)
		decoders = slices.Delete(decoders, n, n+1)
		if len(decoders) == 0 {
			return ReasonFull
		}
	}
	return p.allocate(now, req)
}

// freestDecoders returns the decode engines that a request may use now, those with the most free
// memory first.
func (p *Planner) freestDecoders(now clock.Millis, req Request) (list []*engine) {
	free := map[*engine]int{}
	for _, e := range p.engines {
		if e.Stage != directory.Prefill && e.canServe(req) && e.blockedUntil <= now {
			list = append(list, e)
			free[e] = e.capacity - p.usedTokens(now, e)
		}
	}
	slices.SortFunc(list, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return list
}

// precedes reports whether a queued request is served before a request of a level that may use the
// same engines, because it is more urgent or its workspace holds less for its weight.
func (p *Planner) precedes(q *queuedRequest, req Request, l level) bool {
	if q.level > l || q.req.Service != req.Service || q.req.ID == req.ID || q.req.Part == PrefillOnly ||
		q.req.Software != "" && req.Software != "" && q.req.Software != req.Software {
		return false
	}
	return q.level < l || p.shareOf(q.req) < p.shareOf(req)
}

// shareOf returns what the workspace of a request holds of the service's memory, for its weight. It
// is the same for all requests unless the configuration has workspaces.
func (p *Planner) shareOf(req Request) float64 {
	if len(p.weights) <= 1 {
		return 0
	}
	return p.sharesOf(req.Service).Share(req.Workspace)
}

// sharesOf returns the shares of a service's memory.
func (p *Planner) sharesOf(service string) *fairshare.Shares {
	s := p.shares[service]
	if s == nil {
		s = fairshare.New()
		s.SetWeights(p.weights)
		p.shares[service] = s
	}
	return s
}

// updateTable takes priorities and weights of workspaces from a configuration.
func (p *Planner) updateTable(t *route.Table) {
	if t == p.table {
		return
	}
	p.table, p.middle, p.weights = t, middleLevels(t), workspaceWeights(t)
	for _, s := range p.shares {
		s.SetWeights(p.weights)
	}
}

// middleLevels returns the level in the middle of those that requests for each service have.
func middleLevels(t *route.Table) map[string]level {
	found := map[string][]level{}
	for _, r := range t.Document().Routes {
		own := RankOf(r.Priority).priority()
		list := []level{levelFor(own, own)}
		for _, w := range t.Workspaces() {
			if w.Ranked {
				list = append(list, levelFor(RankOf(w.Priority).priority(), own))
			}
		}
		for _, s := range r.Shares {
			found[s.Service] = append(found[s.Service], list...)
		}
	}
	middle := map[string]level{}
	for service, list := range found {
		middle[service] = (slices.Min(list) + slices.Max(list)) / 2
	}
	return middle
}

// workspaceWeights returns the rates of the workspaces' limits: what they were sold. Limits of
// different units cannot be compared, so that all weights are equal then.
func workspaceWeights(t *route.Table) map[string]float64 {
	weights := map[string]float64{}
	highest, tokens := 0.0, 0
	for _, w := range t.Workspaces() {
		highest = max(highest, w.Limit.Rate)
		if w.Limit.Limited() && w.Limit.Tokens {
			tokens++
		}
		weights[w.Name] = w.Limit.Rate
	}
	limited := 0
	for _, rate := range weights {
		if rate > 0 {
			limited++
		}
	}
	for name, rate := range weights {
		switch {
		case limited == 0 || tokens > 0 && tokens < limited:
			weights[name] = 1
		case rate <= 0: // without a limit it is not entitled to less than others
			weights[name] = highest
		}
	}
	return weights
}
