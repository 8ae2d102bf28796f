package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/cell"
	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// messageDelay is the latency of a message between two processes of a zone.
	messageDelay = time.Millisecond
	// tickInterval is the interval between the dispatcher's timer ticks, the same as
	// in a process while requests are queued.
	tickInterval = 10 * time.Millisecond
	// announceInterval is the interval at which the entry announces its attempts.
	announceInterval = 300 * time.Millisecond
	// ownerExpiry is the default in the settings of a process.
	ownerExpiry = 2 * time.Second
	// retryRatio is the ratio of retries to successful requests that the dispatcher
	// permits.
	retryRatio = 0.1
	// maxOverrun bounds how long a run continues after the last arrival.
	maxOverrun = 5 * time.Minute
	// All requests have the same workspace and kind.
	workspace = "w"
	kind      = "k"
	// startTime is the emulated time at which runs start.
	startTime = clock.Millis(1_000_000)
)

var (
	emulatedCell = catalog.Cell{Zone: "a", Serves: "model"}
	owner        = cell.Owner{Node: "entry", Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
)

// simulation is one run.
type simulation struct {
	plan        *Plan
	now         clock.Millis
	cell        *cell.Cell
	engines     map[string]*engine
	engineOrder []*engine
	events      events
	scheduled   int // number of events scheduled so far
	running     map[cell.AttemptID]*attempt
	unfinished  int // requests that have not ended
	outcome     *Outcome
}

// Run simulates one policy with the load and the faults of one seed.
func (p *Plan) Run(policy string, seed uint64) *Outcome {
	s := &simulation{
		plan: p, now: startTime, engines: map[string]*engine{}, running: map[cell.AttemptID]*attempt{},
		outcome: newOutcome(policy, seed, p.Duration),
	}
	s.cell = cell.New(emulatedCell, s.now, cell.Options{
		Policy: policy, OwnerExpiry: ownerExpiry, RetryRatio: retryRatio,
		OnViolation: func(what string) { s.outcome.Violations = append(s.outcome.Violations, what) },
	})
	s.apply(cell.Configured{Catalog: catalog.New(), Members: s.addEngines()})
	s.every(tickInterval, func() { s.apply(cell.Tick{}) })
	s.every(announceInterval, s.announce)
	s.every(p.Fleet.ReportInterval, s.requestReports)
	s.requestReports() // the dispatcher knows the endpoints before the first request
	// Arrivals and faults have separate random sources, so that changing one in the plan
	// does not change the other.
	s.scheduleArrivals(rand.New(rand.NewPCG(seed, 0)))
	s.scheduleFaults(rand.New(rand.NewPCG(seed, 1)))
	s.play()
	s.outcome.computePercentiles()
	return s.outcome
}

// addEngines creates the plan's endpoints and returns them as members of the cell.
func (s *simulation) addEngines() []catalog.Member {
	var members []catalog.Member
	fleet := s.plan.Fleet
	for _, role := range []string{catalog.RolePrefill, catalog.RoleDecode} {
		for i := range fleet.count(role) {
			m := catalog.Member{Name: fmt.Sprintf("%s-%03d", role, i+1), Role: role, Slots: fleet.Slots, LinkRate: fleet.LinkRate}
			e := &engine{Member: m, jobs: map[cell.AttemptID]*job{}}
			members = append(members, m)
			s.engines[m.Name] = e
			s.engineOrder = append(s.engineOrder, e)
		}
	}
	return members
}

// scheduleArrivals draws all requests, with exponential gaps between arrivals.
func (s *simulation) scheduleArrivals(random *rand.Rand) {
	at := time.Duration(0)
	for n := 1; ; n++ {
		at += time.Duration(random.ExpFloat64() / s.plan.Load.rate(at) * float64(time.Second))
		if at >= s.plan.Duration {
			return
		}
		r := &request{id: fmt.Sprintf("r%06d", n)}
		r.prompt = s.plan.Load.Prompt.draw(random)
		r.answer = s.plan.Load.Answer.draw(random)
		s.unfinished++
		s.after(at, func() { s.arrive(r) })
	}
}

// scheduleFaults draws the endpoints of each fault.
func (s *simulation) scheduleFaults(random *rand.Rand) {
	for _, f := range s.plan.Faults {
		var candidates []*engine
		for _, e := range s.engineOrder {
			if e.Role == f.Role {
				candidates = append(candidates, e)
			}
		}
		random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		for _, e := range candidates[:f.Endpoints] {
			s.after(f.At, func() { s.applyFault(e, f, true) })
			s.after(f.At+f.Duration, func() { s.applyFault(e, f, false) })
		}
	}
}

// rate returns the mean number of requests a second at a time of the run.
func (l Load) rate(at time.Duration) float64 {
	rate := l.Rate
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// draw returns a random token count.
func (s Size) draw(r *rand.Rand) int {
	n := int(s.Median * math.Exp(s.Spread*r.NormFloat64()))
	return min(max(n, 1), s.Max)
}

// play processes events until all requests have ended or the time limit is reached.
func (s *simulation) play() {
	end := s.now.Add(s.plan.Duration + maxOverrun)
	for s.unfinished > 0 && s.now < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.outcome.Unfinished = s.unfinished
}

// apply passes an event to the dispatcher and carries out the effects.
func (s *simulation) apply(e cell.Event) {
	for _, effect := range s.cell.Apply(s.now, e) {
		switch f := effect.(type) {
		case cell.SendGrant:
			s.after(messageDelay, func() { s.granted(f.Grant) })
		case cell.SendRefusal:
			s.after(messageDelay, func() { s.refused(f.Refusal) })
		case cell.Cancel:
			s.after(messageDelay, func() {
				known := s.engines[f.Endpoint].removeJob(f.Attempt)
				s.startPrefill(s.engines[f.Endpoint])
				s.after(messageDelay, func() { s.apply(cell.Cancelled{Endpoint: f.Endpoint, Attempt: f.Attempt, Freed: known}) })
			})
		case cell.SendFenced, cell.SendUnknown: // occur only with a second dispatcher
		}
	}
}

// requestReports has the dispatcher request a report from every endpoint.
func (s *simulation) requestReports() {
	for _, e := range s.engineOrder {
		began := s.now
		if e.down {
			s.after(2*messageDelay, func() { s.apply(cell.Unreachable{Endpoint: e.Name}) })
			continue
		}
		report := e.report(s.now, s.plan.Fleet.ReportAge, s.stepTime(e))
		s.after(2*messageDelay, func() { s.apply(cell.Reported{Endpoint: e.Name, Report: report, RequestedAt: began}) })
	}
}
