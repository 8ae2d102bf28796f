// Package broker finds places for requests: it runs the planner of this
// instance's zone for those who ask it, and asks the planners of all zones for
// this instance's own requests. Any instance may serve as planner; the first of
// the zone by rendezvous order usually does, and when it is silent the next one
// is asked and, in the end, this instance's own planner, which then knows its
// own requests only.
package broker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/directory"
	"github.com/trailshed/trailshed/internal/eventlog"
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

const (
	// firstWord is how long a planner may take for its first word. A round
	// trip between zones takes 3 ms; a slowed instance takes some tens.
	firstWord = 50 * time.Millisecond
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
	down    map[string]silence      // by instance
	used    map[string]clock.Millis // by zone
}

// silence is how long a planner that does not answer is left alone.
type silence struct {
	until clock.Millis
	last  time.Duration
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
		Options: o, ticker: ticker.New(tickBusy, tickIdle), planner: placement.New(o.Zone), view: &directory.View{},
		holds: map[string]*Place{}, pending: map[string]chan placement.Verdict{},
		down: map[string]silence{}, used: map[string]clock.Millis{},
	}
}

// Register adds the handlers of other instances' messages.
func (b *Broker) Register(r *message.Router) {
	peer.Answer(r, b.Transport, topicAsk, func(_ context.Context, _ peer.Sender, a placement.Ask) placement.Verdict {
		return b.decide(a)
	})
	peer.Handle(r, b.Transport, topicVerdict, func(_ peer.Sender, v placement.Verdict) { b.deliver(v) })
	peer.Handle(r, b.Transport, topicProgress, func(_ peer.Sender, m placement.Progress) { b.apply(m) })
	peer.Handle(r, b.Transport, topicRelease, func(_ peer.Sender, m placement.Release) { b.apply(m) })
	peer.Handle(r, b.Transport, topicClosed, func(_ peer.Sender, m placement.Closed) { b.apply(m) })
	peer.Handle(r, b.Transport, topicAnnounce, func(_ peer.Sender, m placement.Announce) { b.apply(m) })
}

// Run announces and lets time pass until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { ticker.Every(ctx, announceEvery, b.announce) })
	group.Go(func() { b.ticker.Run(ctx, b.tick) })
	group.Wait()
}

// tick lets time pass in the own planner; it is busy while requests wait.
func (b *Broker) tick() (busy bool) {
	b.apply(placement.Tick{})
	b.plannerMu.Lock()
	defer b.plannerMu.Unlock()
	return b.planner.Queued() > 0
}

// zones returns the own zone and those where others are known.
func (b *Broker) zones() []string {
	list := []string{b.Zone}
	seen := map[string]bool{b.Zone: true}
	for _, i := range b.Roster.All() {
		if !seen[i.Zone] {
			seen[i.Zone] = true
			list = append(list, i.Zone)
		}
	}
	return list
}

// findIn asks the planner of a zone, and the next one when it is silent.
func (b *Broker) findIn(ctx context.Context, zone string, a placement.Ask) (*Place, *placement.Refusal) {
	silent := 0
	for _, i := range b.Roster.Ranked(zone, "planner") {
		if b.isDown(i.Name) || silent == silentMost && i.Name != b.Name {
			continue
		}
		if i.Name == b.Name {
			return b.findHere(ctx, a)
		}
		v, heard := b.askAt(ctx, i, a)
		if heard {
			b.heard(i.Name)
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

// askAt asks one planner. It returns false if it did not say a word.
func (b *Broker) askAt(ctx context.Context, i roster.Instance, a placement.Ask) (placement.Verdict, bool) {
	waiting := b.await(a.ID)
	defer b.forget(a.ID)
	first, cancel := context.WithTimeout(ctx, firstWord)
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

// wait waits for the verdict on a queued ask.
func (b *Broker) wait(ctx context.Context, waiting chan placement.Verdict, a placement.Ask) placement.Verdict {
	timer := time.NewTimer(a.Budget + verdictSlack)
	defer timer.Stop()
	select {
	case v := <-waiting:
		return v
	case <-ctx.Done():
	case <-timer.C:
	}
	return placement.Verdict{}
}

// conclude turns a verdict into a place or a refusal.
func (b *Broker) conclude(i roster.Instance, zone string, a placement.Ask, v placement.Verdict) (*Place, *placement.Refusal) {
	switch {
	case v.Grant != nil:
		p := &Place{Grant: *v.Grant, Zone: zone, ask: a, planner: i, granted: b.Now()}
		b.mu.Lock()
		b.holds[a.ID] = p
		b.used[zone] = b.Now()
		b.mu.Unlock()
		return p, nil
	case v.Refusal != nil:
		return nil, v.Refusal
	default: // no verdict came
		b.tell(i, placement.Release{ID: a.ID, Owner: b.Name})
		return nil, &placement.Refusal{ID: a.ID, Reason: placement.ReasonMoved, After: downFor}
	}
}

// Release gives a place back. full names an engine that turned the request
// away, failed one that failed; both may be empty.
func (b *Broker) Release(p *Place, full, failed string) {
	if p.reader != nil {
		b.Release(p.reader, full, failed)
	}
	b.mu.Lock()
	delete(b.holds, p.ID)
	b.mu.Unlock()
	b.tell(p.planner, placement.Release{ID: p.ID, Owner: b.Name, Full: full, Failed: failed})
}

// Began passes on what an engine said of its load when it began to answer; read
// says that it is the prefill engine.
func (b *Broker) Began(p *Place, running int, read bool) {
	if read && p.reader != nil {
		p = p.reader
	}
	m := placement.Progress{ID: p.ID, Running: running, Read: read}
	if p.planner.Name == b.Name {
		b.apply(m)
		return
	}
	b.send(p.planner.Address, topicProgress, m)
}

// Close tells the planners of a zone that an engine takes nothing until its
// stage has changed.
func (b *Broker) Close(zone, engine string) {
	for _, i := range b.hearers(zone) {
		if i.Name == b.Name {
			b.apply(placement.Closed{Engine: engine})
		} else {
			b.send(i.Address, topicClosed, placement.Closed{Engine: engine})
		}
	}
}

// Plans says whether this instance is the first planner of its zone.
func (b *Broker) Plans() bool {
	ranked := b.Roster.Ranked(b.Zone, "planner")
	return len(ranked) > 0 && ranked[0].Name == b.Name
}

func (b *Broker) tell(i roster.Instance, r placement.Release) {
	if i.Name == b.Name {
		b.apply(r)
		return
	}
	b.send(i.Address, topicRelease, r)
}

// decide asks the own planner and returns its first word. Whatever else the ask
// brings about is passed on.
func (b *Broker) decide(a placement.Ask) placement.Verdict {
	b.Saw(a)
	first := placement.Verdict{Queued: true} // if it is asked again while it waits
	found := false
	for _, answer := range b.step(a) {
		if answer.ID == a.ID && !found {
			first, found = answer.Verdict, true
			continue
		}
		b.pass(answer)
	}
	return first
}

// apply feeds the own planner and passes its words on.
func (b *Broker) apply(e placement.Event) {
	for _, answer := range b.step(e) {
		b.pass(answer)
	}
}

func (b *Broker) step(e placement.Event) []placement.Answer {
	b.plannerMu.Lock()
	defer b.plannerMu.Unlock()
	now := b.Now()
	var answers []placement.Answer
	if v := b.Directory.View(); v != b.view {
		b.view = v
		answers = b.planner.Apply(now, placement.Known{View: v})
	}
	answers = append(answers, b.planner.Apply(now, e)...)
	b.Scope.Gauge("placement_queue").Update(float64(b.planner.Queued()))
	if b.planner.Queued() > 0 {
		b.ticker.Wake()
	}
	return answers
}

func (b *Broker) pass(a placement.Answer) {
	if a.Owner == b.Name {
		b.deliver(a.Verdict)
		return
	}
	for _, i := range b.Roster.All() {
		if i.Name == a.Owner {
			b.send(i.Address, topicVerdict, a.Verdict)
		}
	}
}

func (b *Broker) await(id string) chan placement.Verdict {
	waiting := make(chan placement.Verdict, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending[id] = waiting
	return waiting
}

func (b *Broker) forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, id)
}

func (b *Broker) deliver(v placement.Verdict) {
	id := ""
	switch {
	case v.Grant != nil:
		id = v.Grant.ID
	case v.Refusal != nil:
		id = v.Refusal.ID
	}
	b.mu.Lock()
	waiting := b.pending[id]
	b.mu.Unlock()
	if waiting == nil {
		b.Scope.Counter("placement_late_verdicts").Inc(1)
		return // the announcements free what it gave
	}
	select {
	case waiting <- v:
	default:
	}
}

func (b *Broker) isDown(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Now() < b.down[name].until
}

func (b *Broker) heard(name string) {
	b.mu.Lock()
	before, was := b.down[name]
	delete(b.down, name)
	b.mu.Unlock()
	if was {
		b.Log.Write(eventlog.Line{Event: eventlog.PeerRegained, Detail: name, Age: before.last})
	}
}

func (b *Broker) silent(i roster.Instance) {
	b.mu.Lock()
	before := b.down[i.Name]
	if b.Now() < before.until {
		b.mu.Unlock()
		return // another request found out at the same time
	}
	length := min(max(2*before.last, downFor), downMost)
	b.down[i.Name] = silence{until: b.Now().Add(length), last: length}
	b.mu.Unlock()
	b.Scope.Counter("planner_silent").Inc(1)
	b.Log.Write(eventlog.Line{Event: eventlog.PeerLost, Address: i.Address.String(), Reason: "planner_silent", Detail: i.Name})
}

// announce tells each zone's planner what this instance holds there.
func (b *Broker) announce() {
	for _, zone := range b.zones() {
		a := b.announcement(zone)
		if !b.usedLately(zone) && len(a.Holds) == 0 {
			continue
		}
		for _, i := range b.hearers(zone) {
			if i.Name == b.Name {
				b.apply(a)
			} else {
				b.send(i.Address, topicAnnounce, a)
			}
		}
	}
}

// hearers are the planner of a zone, the next ones, and those that will be once
// they have taken up their work.
func (b *Broker) hearers(zone string) []roster.Instance {
	var list []roster.Instance
	for _, i := range b.Roster.Ranked(zone, "planner") {
		if !b.isDown(i.Name) {
			list = append(list, i)
		}
	}
	kept := list[:min(len(list), backups)]
	for _, i := range list[len(kept):] {
		if i.Joining {
			kept = append(kept, i)
		}
	}
	return kept
}

func (b *Broker) usedLately(zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.used[zone]
	return ok && b.Now().Sub(at) < zoneMemory
}

func (b *Broker) announcement(zone string) placement.Announce {
	a := placement.Announce{Owner: b.Name, Zone: zone}
	now := b.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.holds {
		if p.Zone == zone {
			a.Holds = append(a.Holds, placement.Hold{
				ID: p.ID, Decode: p.Decode, Prompt: p.ask.Prompt, Output: p.ask.Output, Running: now.Sub(p.granted),
			})
		}
	}
	return a
}

func (b *Broker) send(to netip.AddrPort, topic string, v any) {
	if err := peer.Send(b.Transport, to, topic, v); err != nil {
		b.Scope.Counter("broker_send_failed").Inc(1)
	}
}
