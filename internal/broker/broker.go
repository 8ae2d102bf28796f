// Package broker finds places for requests: it runs the planner of this
// instance's zone for those who ask it, and asks the planners of all zones for
// this instance's own requests. Any instance may serve as planner; the first of
// the zone by rendezvous order usually does, and when it is silent the next one
// is asked and, in the end, this instance's own planner, which then knows its
// own requests only.
package broker

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/pace"
	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/placement"
	"github.com/trailshed/trailshed/internal/roster"
	"github.com/trailshed/trailshed/internal/ticker"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The topics between instances.
const (
	topicAsk      = "place.ask"
	topicVerdict  = "place.verdict"
	topicProgress = "place.progress"
	topicRelease  = "place.release"
	topicClosed   = "place.closed"
	topicAnnounce = "place.announce"
)

// rolePlanner is the role of giving out a zone's engines.
const rolePlanner = "planner"

const (
	// firstAnswer is how long a planner may take for its first answer. A round
	// trip between zones takes 3 ms; a slowed instance takes some tens.
	firstAnswer = 50 * time.Millisecond
	// firstContact is the same for a planner that this process has not heard
	// yet, while it is young: the connection must be made, and when a whole
	// fleet starts at once all make theirs to the same few instances. To plan
	// without them costs prompts that are read for nothing. Later, a planner
	// that was never heard is most likely cut off.
	firstContact = 300 * time.Millisecond
	young        = 3 * time.Second
	// downFor is how long a silent planner is not asked again; it doubles, up
	// to downMost, while the planner stays silent.
	downFor  = time.Second
	downMost = 4 * time.Second
	// silentMost is how many silent planners of a zone one request asks: when
	// two are silent, the zone is probably cut off.
	silentMost = 2
	// backups is how many instances of a zone hear announcements, so that the
	// next planner knows what was given out.
	backups = 2
	// announceEvery renews this instance's places; planners keep them for
	// 2.5 s of silence.
	announceEvery = 400 * time.Millisecond
	// tickBusy and tickIdle let time pass in the own planner.
	tickBusy = 10 * time.Millisecond
	tickIdle = 400 * time.Millisecond
	// zoneMemory is how long a zone hears announcements after the last place.
	zoneMemory = 3 * time.Second
	// verdictSlack is how much longer than a planner's queue a verdict may take.
	verdictSlack = 50 * time.Millisecond
)

// Options are what a Broker works with.
type Options struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Directory  *directory.Directory
	Log        *eventlog.Log
	Scope      tally.Scope
	Now        func() clock.Millis
	// Regions has the region of each availability zone.
	Regions map[string]string
	// Paces is what this instance learns of the engines.
	Paces *pace.Model
	// Load asks an engine of the own zone what it works on.
	Load Load
	// Spent are engines of the own zone that may get no more requests now, and how long
	// the first of them may not.
	Spent func() (engines []string, next time.Duration)
	// Saw is told of each ask that this instance's planner gets.
	Saw func(a placement.Ask)
}

// Broker finds places. Lock order: planner, then tables.
type Broker struct {
	Options
	ticker *ticker.Ticker

	plannerMu sync.Mutex
	planner   *placement.Planner
	view      *directory.View

	mu      sync.Mutex
	holds   map[string]*Place
	pending map[string]chan placement.Verdict
	down    map[string]silence        // by certificate
	used    map[string]clock.Millis   // by zone
	met     map[string]bool           // planners that were heard, by certificate
	loadAt  map[string]clock.Millis   // engines that were asked for their load
	askers  map[string]netip.AddrPort // where verdicts go, by name
	began   clock.Millis              // when this process did

	announced int // how often; only announce counts
}

// Place is what a request holds until Release.
type Place struct {
	placement.Grant
	Zone    string
	reader  *Place // at the prefill engine, where another zone's planner gave it
	ask     placement.Ask
	planner roster.Instance
	granted clock.Millis
}

// New returns a broker.
func New(o Options) *Broker {
	return &Broker{
		Options: o, ticker: ticker.New(tickBusy, tickIdle), planner: placement.New(o.Zone, o.Name, o.Paces), view: directory.NewView(nil),
		holds: map[string]*Place{}, pending: map[string]chan placement.Verdict{},
		down: map[string]silence{}, used: map[string]clock.Millis{}, met: map[string]bool{},
		loadAt: map[string]clock.Millis{}, askers: map[string]netip.AddrPort{}, began: o.Now(),
	}
}

// Register adds the handlers of other instances' messages.
func (b *Broker) Register(r *message.Router) {
	peer.Answer(r, b.Transport, topicAsk, func(_ context.Context, s peer.Sender, a placement.Ask) placement.Verdict {
		b.asked(a.Owner, s.Address)
		return b.decide(a)
	})
	peer.Handle(r, b.Transport, topicVerdict, func(_ peer.Sender, v placement.Verdict) { b.deliver(v) })
	peer.Handle(r, b.Transport, topicProgress, func(_ peer.Sender, m placement.Progress) { b.apply(m) })
	peer.Handle(r, b.Transport, topicRelease, func(_ peer.Sender, m placement.Release) { b.released(m) })
	peer.Handle(r, b.Transport, topicClosed, func(_ peer.Sender, m placement.Closed) { b.apply(m) })
	peer.Handle(r, b.Transport, topicAnnounce, func(_ peer.Sender, m placement.Announce) { b.announcedBy(m) })
}

// Run announces and lets time pass until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { ticker.Every(ctx, announceEvery, b.announce) })
	group.Go(func() { b.ticker.Run(ctx, b.tick) })
	group.Go(func() { b.learnLoads(ctx) })
	group.Wait()
}

// zones returns the own zone and those where others are known, those of the own region
// first.
func (b *Broker) zones() []string {
	list := []string{b.Zone}
	for _, zone := range b.Roster.Zones() {
		if zone != b.Zone {
			list = append(list, zone)
		}
	}
	away := func(zone string) int {
		if b.Regions[zone] == b.Regions[b.Zone] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list[1:], func(x, y string) int { return cmp.Compare(away(x), away(y)) })
	return list
}

// findIn asks the planner of a zone, and the next one when it is silent.
func (b *Broker) findIn(ctx context.Context, zone string, a placement.Ask) (*Place, *placement.Refusal) {
	silent := 0
	for _, i := range b.Roster.Ranked(zone, rolePlanner) {
		if b.isDown(i) || silent == silentMost && i.Name != b.Name {
			continue
		}
		if i.Name == b.Name {
			return b.findHere(ctx, a)
		}
		v, heard := b.askAt(ctx, i, a)
		if heard {
			b.heard(i)
			return b.conclude(i, zone, a, v)
		}
		if ctx.Err() != nil {
			return nil, &placement.Refusal{Reason: placement.ReasonMoved, After: downFor}
		}
		silent++
		b.silent(i)
		b.send(i.Address, topicRelease, placement.Release{ID: a.ID, Owner: b.Name})
	}
	if zone == b.Zone {
		b.apply(b.announcement(zone))
		return b.findHere(ctx, a)
	}
	return nil, &placement.Refusal{Reason: placement.ReasonNoEndpoint, After: downFor}
}

func (b *Broker) findHere(ctx context.Context, a placement.Ask) (*Place, *placement.Refusal) {
	waiting := b.await(a.ID)
	defer b.forget(a.ID)
	v := b.decide(a)
	if v.Queued {
		v = b.wait(ctx, waiting, a)
	}
	return b.conclude(roster.Instance{Name: b.Name}, b.Zone, a, v)
}

// askAt asks one planner. It returns false if it did not answer.
func (b *Broker) askAt(ctx context.Context, i roster.Instance, a placement.Ask) (placement.Verdict, bool) {
	waiting := b.await(a.ID)
	defer b.forget(a.ID)
	first, cancel := context.WithTimeout(ctx, b.firstAnswer(i))
	defer cancel()
	v, err := peer.Ask[placement.Ask, placement.Verdict](first, b.Transport, i.Address, topicAsk, a)
	if err != nil {
		return placement.Verdict{}, false
	}
	if v.Queued {
		v = b.wait(ctx, waiting, a)
	}
	return v, true
}

// Release gives a place back. full names an engine that turned the request
// away, failed one that failed; both may be empty. seen is what became of the
// answer, nil if it did not begin.
func (b *Broker) Release(p *Place, full, failed string, seen *placement.Seen) {
	if p.reader != nil {
		b.Release(p.reader, full, failed, nil)
	}
	b.mu.Lock()
	delete(b.holds, p.ID)
	b.mu.Unlock()
	if seen != nil && p.planner.Name != b.Name {
		placement.Learn(b.Paces, b.Now(), p.ask, p.Grant, 0, *seen)
	}
	b.tell(p.planner, placement.Release{ID: p.ID, Owner: b.Name, Full: full, Failed: failed, Seen: seen})
}

// Began passes on what an engine said of its load when it began to answer.
func (b *Broker) Began(p *Place, running int) {
	b.progress(p, placement.Progress{ID: p.ID, Running: running})
}

// Read passes on that the prefill engine has read the prompt, what it said of
// its load, and how long that took.
func (b *Broker) Read(p *Place, running int, took time.Duration) {
	if p.reader != nil {
		p = p.reader
	}
	if p.Wait == 0 && p.planner.Name != b.Name {
		b.Paces.Learn(b.Now(), pace.Observation{
			Service: p.ask.Service, Engine: p.Prefill, Act: pace.Read,
			Size: float64(p.ask.Prompt), Outcome: clock.InMillis(took),
		})
	}
	b.progress(p, placement.Progress{ID: p.ID, Running: running, Read: true, Took: took})
}

func (b *Broker) progress(p *Place, m placement.Progress) {
	if p.planner.Name == b.Name {
		b.apply(m)
		return
	}
	b.send(p.planner.Address, topicProgress, m)
}

func (b *Broker) tell(i roster.Instance, r placement.Release) {
	if i.Name == b.Name {
		b.released(r)
		return
	}
	b.send(i.Address, topicRelease, r)
}

func (b *Broker) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(b.Transport, to, topic, v); err != nil {
		b.Scope.Counter("broker_send_failed").Inc(1)
	}
}
