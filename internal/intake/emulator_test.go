package intake_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/trailshed/trailshed/internal/lateness"
	"github.com/trailshed/trailshed/pkg/clock"
)

// machine is an emulated instance: its work waits for one processor in the order of arrival, and its bytes
// for one link, which carries as much in either direction.
type machine struct {
	share float64 // of a core
	link  float64 // bytes per ms
	quota bool    // the share is a quota of each 100 ms
}

// stage is a part of a request: work of the processor, then bytes to send, then time spent elsewhere, then bytes to
// receive.
type stage struct {
	work      float64 // ms of a whole core
	bytes     float64 // sent
	elsewhere float64 // ms until the next stage
	received  float64 // bytes
	dials     bool    // a connection is opened before the bytes are sent
}

const (
	connectTime = 3.0   // ms on an idle link
	dialTimeout = 400.0 // ms
	maxSends    = 2
	callerTries = 3
	retryTime   = 5.0 // ms
	// acceptedWork is the processor time of a connection that is accepted and closed, in ms of a whole core.
	acceptedWork = 0.04
	events       = 8
)

// plain and stream are requests of a plain service and of model engines.
func plain() []stage {
	return []stage{{work: 0.25, dials: true}, {work: 0.25, bytes: 500, elsewhere: 15, received: 1000}, {work: 0.3, bytes: 1000}}
}

func stream() []stage {
	list := []stage{
		{work: 0.45, bytes: 600, elsewhere: 4, received: 200},
		{dials: true},
		{work: 0.35, bytes: 5500, elsewhere: 100, received: 300},
		{dials: true},
		{work: 0.35, bytes: 5500, elsewhere: 90, received: 900},
	}
	for range events {
		list = append(list, stage{work: 0.12, bytes: 900, elsewhere: 40, received: 900})
	}
	return list
}

const (
	plainBytes     = 600.0 // of a request, as it comes from its caller
	streamBytes    = 5500.0
	connectBytes   = 60.0
	firstWindow    = 1460.0 // bytes that a caller sends at once
	plainPatience  = 800.0  // ms until the caller of a plain service leaves
	streamPatience = 3600.0 // ms until the caller of a stream leaves without a first event
	plainTarget    = 300.0
	streamTarget   = 900.0
	firstEvent     = 5 // stage that sends the first event of a stream
)

// request is a request in progress.
type request struct {
	at       float64 // when it was read
	bytes    float64
	tries    int // of its caller
	stages   []stage
	next     int
	stream   bool
	patience float64
	sends    int
	inTime   bool
	phase    int
}

// task is work that waits for the processor.
type task struct {
	cost float64 // ms, at the instance's share
	do   func()
}

// emulation plays one load on one machine.
type emulation struct {
	machine
	now      float64
	draw     *rand.Rand
	events   map[int][]func() // by tick
	queue    []task           // for the processor
	busy     float64
	used     float64         // ms of the core in this period of a quota
	sent     float64         // when the link has sent what waits
	received float64         // when it has received what waits
	running  int             // requests that are not answered yet
	unread   int             // connections that are accepted
	waits    *lateness.Meter // for the processor
	connects *lateness.Meter
	admit    func(e *emulation, waited time.Duration) bool
	refuses  func(e *emulation) bool // new connections; nil: none
	result   [2]result               // before the flood and during it
}

type result struct{ arrived, read, closed, served, inTime float64 }

func (e *emulation) clock() clock.Millis { return clock.Millis(1000 + e.now) }

func (e *emulation) after(wait float64, do func()) {
	at := int(math.Ceil((e.now + wait) / tick))
	e.events[at] = append(e.events[at], do)
}

// run lets the processor do work, then do.
func (e *emulation) run(work float64, do func()) {
	e.queue = append(e.queue, task{cost: work / e.share, do: do})
}

// send lets the link send bytes, then do.
func (e *emulation) send(bytes float64, do func()) {
	e.sent = max(e.sent, e.now) + bytes/e.link
	e.after(e.sent-e.now, do)
}

// receive lets the link receive bytes, then do.
func (e *emulation) receive(bytes float64, do func()) {
	e.received = max(e.received, e.now) + bytes/e.link
	e.after(e.received-e.now, do)
}

// arrive takes a request of a new caller.
func (e *emulation) arrive(phase int) {
	r := &request{at: e.now, stages: plain(), patience: plainPatience, phase: phase, bytes: plainBytes}
	if e.draw.Float64() < 0.38 {
		r.stages, r.stream, r.patience, r.bytes = stream(), true, streamPatience, streamBytes
	}
	e.result[phase].arrived++
	e.try(r)
}

// try takes a connection, whose caller sends the request as soon as it is open. A caller whose connection is
// refused or closed unread tries again, here, as if there were no other instance.
func (e *emulation) try(r *request) {
	again := func() {
		if r.tries++; r.tries < callerTries {
			e.after(retryTime, func() { e.try(r) })
		}
	}
	e.receive(connectBytes, func() {
		if e.refuses != nil && e.refuses(e) {
			again()
			return
		}
		e.run(acceptedWork, func() {
			if e.refuses != nil && e.refuses(e) { // the listener has been closed since
				e.receive(min(r.bytes, firstWindow), func() {})
				e.result[r.phase].closed++
				again()
				return
			}
			e.unread++
			e.receive(r.bytes, func() { e.read(r, again) })
		})
	})
}

// read decides whether the request of an accepted connection is read.
func (e *emulation) read(r *request, again func()) {
	queued := e.now
	e.run(0, func() {
		waited := time.Duration((e.now - queued) * float64(time.Millisecond))
		e.waits.Record(e.clock(), waited)
		e.unread--
		if !e.admit(e, waited) {
			e.result[r.phase].closed++
			again()
			return
		}
		r.at = e.now
		e.result[r.phase].read++
		e.running++
		e.advance(r)
	})
}

// advance does the next stage of a request.
func (e *emulation) advance(r *request) {
	if r.patience > 0 && e.now-r.at > r.patience {
		e.running-- // the caller has left
		return
	}
	if r.next == len(r.stages) {
		if !r.stream {
			e.running--
		}
		e.result[r.phase].served++
		if r.inTime || !r.stream && e.now-r.at <= plainTarget {
			e.result[r.phase].inTime++
		}
		return
	}
	s := r.stages[r.next]
	if s.dials {
		e.run(s.work+0.1, func() { e.dial(r) })
		return
	}
	e.run(s.work, func() { e.send(s.bytes, func() { e.stageEnded(r, s) }) })
}

func (e *emulation) stageEnded(r *request, s stage) {
	if r.stream && r.next == firstEvent {
		r.inTime, r.patience = e.now-r.at <= streamTarget, 0 // it goes on
		e.running--
	}
	r.next++
	if s.received == 0 {
		e.after(s.elsewhere, func() { e.advance(r) })
		return
	}
	e.after(s.elsewhere, func() { e.receive(s.received, func() { e.advance(r) }) })
}

// dial opens a connection. One that takes too long is tried again, at another endpoint.
func (e *emulation) dial(r *request) {
	began := e.now
	e.send(connectBytes, func() {
		e.after(connectTime, func() {
			e.receive(connectBytes, func() {
				e.run(0.05, func() {
					took := e.now - began
					if took <= dialTimeout {
						e.connects.Record(e.clock(), time.Duration(took*float64(time.Millisecond)))
						r.next++
						e.advance(r)
						return
					}
					if r.sends++; r.sends < maxSends {
						e.dial(r)
						return
					}
					e.running--
				})
			})
		})
	})
}

// crowd is the load: requests a second before crowdBegins and until crowdEnds.
type crowd struct{ usual, most float64 }

const (
	crowdBegins   = 3000.0
	crowdEnds     = 11000.0
	emulationEnds = 14000.0
	settled       = 1000.0 // ms after the begin of the flood from which its requests count
	tick          = 0.5    // ms
)

// play plays a load.
func (e *emulation) play(f crowd, seed uint64) {
	e.draw = rand.New(rand.NewPCG(seed, 5))
	e.events = map[int][]func(){}
	e.waits, e.connects = &lateness.Meter{}, &lateness.Meter{}
	for ; e.now < emulationEnds; e.now += tick {
		rate, phase := f.usual, 0
		if e.now >= crowdBegins && e.now < crowdEnds {
			rate = f.most
		}
		if e.now >= crowdBegins+settled {
			phase = 1
		}
		if e.now < crowdEnds {
			for n := rate / 1000 * tick; e.draw.Float64() < n; n-- {
				e.arrive(phase)
			}
		}
		e.step()
	}
}

// step lets one tick pass.
func (e *emulation) step() {
	now := int(e.now / tick)
	for len(e.events[now]) > 0 { // some add others
		due := e.events[now]
		delete(e.events, now)
		for _, do := range due {
			do()
		}
	}
	if int(e.now)%30 == 0 && e.now == float64(int(e.now)) {
		queued := e.now
		e.run(0.01, func() {
			e.waits.Record(e.clock(), time.Duration((e.now-queued)*float64(time.Millisecond)))
		})
	}
	speed := 1.0
	if e.quota { // a whole core until the quota of the period is used up
		speed = 1 / e.share
		if int(e.now*2)%200 == 0 {
			e.used = 0
		}
		if e.used >= 100*e.share {
			return
		}
		if len(e.queue) > 0 || e.busy > 0 {
			e.used += tick
		}
	}
	for e.busy = max(e.busy-tick*speed, 0); e.busy < tick*speed && len(e.queue) > 0; {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.busy += s.cost
		s.do()
	}
}
