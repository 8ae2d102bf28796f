package cell

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/catalog"
	"github.com/trailshed/trailshed/internal/endpoint"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Estimates until an endpoint's speed has been measured, and their smoothing.
const (
	defaultPrefillRate = 15_000.0 // tokens per second
	defaultCallTime    = 30 * time.Millisecond
	ewmaWeight         = 0.2 // weight of a new measurement
)

// prefillJob is a granted prefill that its endpoint has not finished yet.
type prefillJob struct {
	attempt  AttemptID
	duration time.Duration // predicted
}

// server is an endpoint with its reservations, measurements and health.
type server struct {
	catalog.Member
	health        health
	report        endpoint.Load
	reportedAt    clock.Millis // time of the last report, 0 if none
	missedReports int          // reports in a row that could not be read
	addedAt       clock.Millis // when it was first configured here

	// Prefill: jobs run one at a time, followed by transfers over a serial link.
	pending   []prefillJob
	headSince clock.Millis
	linkUntil clock.Millis
	rate      float64 // tokens per second
	prefixes  prefixes

	// Decode and plain service: slots.
	used     map[AttemptID]*reservation
	orphans  map[AttemptID]clock.Millis // held here without a reservation, with the time first seen
	step     stepModel
	callTime time.Duration // plain service: mean time of a call
}

func newServer(m catalog.Member, now clock.Millis) *server {
	return &server{
		Member: m, addedAt: now, rate: defaultPrefillRate, callTime: defaultCallTime,
		prefixes: newPrefixes(), used: map[AttemptID]*reservation{},
		orphans: map[AttemptID]clock.Millis{},
	}
}

// available reports whether the server can be granted new work. It must have
// reported once, so that a new dispatcher knows what a former one granted there.
func (s *server) available(now clock.Millis, avoid []string) bool {
	return s.reportedAt > 0 && !s.unreachable() && !s.Draining && s.health.available(now) && !slices.Contains(avoid, s.Name)
}

// mayBecomeAvailable reports whether the server is available, or is new and may
// become available with its first report.
func (s *server) mayBecomeAvailable(now clock.Millis, avoid []string) bool {
	if s.reportedAt > 0 {
		return s.available(now, avoid)
	}
	return !s.Draining && !slices.Contains(avoid, s.Name) && now.Sub(s.addedAt) < firstReportTimeout
}

// maxMissedReports is how many reports in a row must fail for an endpoint to be
// considered unreachable. Unlike a slow endpoint it then gets no work, even if
// no other is left.
const maxMissedReports = 3

// firstReportTimeout is how long requests may wait for the first report of a
// newly configured endpoint.
const firstReportTimeout = time.Second

// free returns the number of slots that no attempt holds.
func (s *server) free() int { return max(s.Slots-len(s.used)-len(s.orphans), 0) }

// busy reports whether any attempt holds capacity.
func (s *server) busy() bool { return len(s.used) > 0 || len(s.pending) > 0 }

// unreachable reports whether too many reports in a row failed.
func (s *server) unreachable() bool { return s.missedReports >= maxMissedReports }

// busyUntil predicts when all pending prefills are finished.
func (s *server) busyUntil(now clock.Millis) clock.Millis {
	until := s.headSince
	for _, w := range s.pending {
		until = until.Add(w.duration)
	}
	return max(until, now)
}

func (s *server) backlog(now clock.Millis) time.Duration { return s.busyUntil(now).Sub(now) }

// prefillTime predicts the prefill duration of a prompt of which cached tokens
// are in the prefix cache.
func (s *server) prefillTime(tokens, cached int) time.Duration {
	return time.Duration(float64(tokens-cached) / s.rate * float64(time.Second))
}

// linkTime returns the transfer duration of a prompt's KV cache.
func (s *server) linkTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(s.LinkRate)
}

func (s *server) addPrefill(now clock.Millis, w prefillJob) {
	if len(s.pending) == 0 {
		s.headSince = now
	}
	s.pending = append(s.pending, w)
}

// removePrefill removes a pending prefill. If it was the first, the next one
// starts now.
func (s *server) removePrefill(now clock.Millis, id AttemptID) {
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

// learnRate updates the prefill rate from a prefill that ran alone.
func (s *server) learnRate(tokens int, duration time.Duration) {
	if tokens < minLearnTokens || duration <= 0 {
		return
	}
	s.rate += ewmaWeight * (float64(tokens)/duration.Seconds() - s.rate)
}

// minLearnTokens is the smallest prefill, in tokens, whose duration is used to
// measure the rate.
const minLearnTokens = 128

// canAdmit reports whether a slot is free and another decode request would keep
// the predicted step time within the time-between-tokens targets of all running
// requests and its own, tbt.
func (s *server) canAdmit(tbt time.Duration) bool {
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

// stepModel predicts a decode step's duration by a linear regression over the
// number of running requests, with older samples decayed.
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

// predict returns the step duration at an occupancy, or 0 without samples.
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
