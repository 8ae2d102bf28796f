package cell

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Defaults until an endpoint's own speed has been measured.
const (
	defaultPrefillRate = 15_000.0 // tokens a second
	defaultCall        = 30 * time.Millisecond
	learning           = 0.2 // weight of a new measurement
)

// work is one prefill that an endpoint has been given and not yet finished.
type work struct {
	attempt AttemptID
	took    time.Duration // predicted
}

// server is one endpoint with what the dispatcher promised and learned of it.
type server struct {
	catalog.Member
	health health
	report endpoint.Load
	heard  clock.Millis // when the last report came
	missed int          // reports in a row that did not come
	added  clock.Millis // when the dispatcher learned of it

	// Prefill: a serial server in front of a serial link.
	pending   []work
	headSince clock.Millis
	linkUntil clock.Millis
	rate      float64 // tokens a second
	prefixes  prefixes

	// Decode and plain service: slots.
	used      map[AttemptID]*reservation
	strangers map[AttemptID]clock.Millis // held here for nobody known, since when
	step      stepModel
	call      time.Duration // plain service: mean time of a call
}

func newServer(m catalog.Member, now clock.Millis) *server {
	return &server{
		Member: m, added: now, rate: defaultPrefillRate, call: defaultCall,
		prefixes: newPrefixes(), used: map[AttemptID]*reservation{},
		strangers: map[AttemptID]clock.Millis{},
	}
}

// open says whether the server may be given new work. It must have reported
// once, so that a new dispatcher knows what a former one gave it.
func (s *server) open(now clock.Millis, avoid []string) bool {
	return s.heard > 0 && !s.silent() && !s.Draining && s.health.open(now) && !slices.Contains(avoid, s.Name)
}

// promising says whether the server is open or, as it is new here, may be as
// soon as it is heard.
func (s *server) promising(now clock.Millis, avoid []string) bool {
	if s.heard > 0 {
		return s.open(now, avoid)
	}
	return !s.Draining && !slices.Contains(avoid, s.Name) && now.Sub(s.added) < unheardPatience
}

// missedToClose is how many reports in a row must fail for an endpoint to count
// as dead. Unlike a slow one it gets nothing, even when it is the last.
const missedToClose = 3

// unheardPatience is how long requests may wait for an endpoint that has not
// been heard since its dispatcher learned of it.
const unheardPatience = time.Second

// free returns how many slots nobody holds.
func (s *server) free() int { return max(s.Slots-len(s.used)-len(s.strangers), 0) }

// busy says whether any attempt holds a place.
func (s *server) busy() bool { return len(s.used) > 0 || len(s.pending) > 0 }

// silent says whether the server counts as dead.
func (s *server) silent() bool { return s.missed >= missedToClose }

// busyUntil predicts when all given prefills are finished.
func (s *server) busyUntil(now clock.Millis) clock.Millis {
	until := s.headSince
	for _, w := range s.pending {
		until = until.Add(w.took)
	}
	return max(until, now)
}

func (s *server) backlog(now clock.Millis) time.Duration { return s.busyUntil(now).Sub(now) }

// prefillTime predicts how long a prompt takes with what is cached of it.
func (s *server) prefillTime(tokens, cached int) time.Duration {
	return time.Duration(float64(tokens-cached) / s.rate * float64(time.Second))
}

// linkTime is how long the transfer of a prompt's KV cache takes.
func (s *server) linkTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(s.Link)
}

func (s *server) addWork(now clock.Millis, w work) {
	if len(s.pending) == 0 {
		s.headSince = now
	}
	s.pending = append(s.pending, w)
}

// endWork removes a prefill; the next one in line begins.
func (s *server) endWork(now clock.Millis, id AttemptID) {
	for i, w := range s.pending {
		if w.attempt != id {
			continue
		}
		s.pending = slices.Delete(s.pending, i, i+1)
		if i == 0 {
			s.headSince = now
		}
		return
	}
}

// learnRate takes the measured time of a prefill that ran alone.
func (s *server) learnRate(tokens int, took time.Duration) {
	if tokens < minLearnTokens || took <= 0 {
		return
	}
	s.rate += learning * (float64(tokens)/took.Seconds() - s.rate)
}

// minLearnTokens is the least prefill whose time tells of the speed.
const minLearnTokens = 128

// room says whether another request may join without making any running
// request's time between tokens late.
func (s *server) room(tbt time.Duration) bool {
	if s.free() == 0 {
		return false
	}
	if s.Role == catalog.RoleService {
		return true
	}
	for _, r := range s.used {
		if r.tbt > 0 && r.tbt < tbt {
			tbt = r.tbt
		}
	}
	return tbt <= 0 || s.step.predict(len(s.used)+1) <= tbt
}

// stepModel learns a decode step's duration as a line over the occupancy.
type stepModel struct {
	n, x, y, xx, xy float64 // decayed sums
}

const stepDecay = 0.98

func (m *stepModel) learn(occupancy int, step time.Duration) {
	x, y := float64(occupancy), float64(step)
	m.n = m.n*stepDecay + 1
	m.x = m.x*stepDecay + x
	m.y = m.y*stepDecay + y
	m.xx = m.xx*stepDecay + x*x
	m.xy = m.xy*stepDecay + x*y
}

// predict returns the step at an occupancy; 0 while nothing is known.
func (m *stepModel) predict(occupancy int) time.Duration {
	if m.n < 1 {
		return 0
	}
	mean := m.y / m.n
	spread := m.xx - m.x*m.x/m.n
	if spread < 1 {
		return time.Duration(mean)
	}
	slope := max((m.xy-m.x*m.y/m.n)/spread, 0)
	return time.Duration(mean + slope*(float64(occupancy)-m.x/m.n))
}
