// Package servicetime learns how long requests take from their arrival to the end of their answers.
package servicetime

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// period is how long times are collected before the ones of the period before are forgotten.
	period = time.Minute
	// maxKeys bounds the memory of a period: 2 kB for each key.
	maxKeys = 64
	// minTimes is how many times are needed for a share.
	minTimes = 5
	// maxTime and significantDigits are the range and the precision of times.
	maxTime           = 2 * time.Minute
	significantDigits = 1
)

// Table holds the times of recent requests by key, such as a route. It is safe for concurrent use.
type Table struct {
	now func() clock.Millis

	mu      sync.Mutex
	current times
	former  times
	endsAt  clock.Millis // of the current period
}

// times are the times of a period in ms.
type times map[string]*hdrhistogram.Histogram

// New returns an empty table.
func New(now func() clock.Millis) *Table {
	return &Table{now: now, current: times{}, endsAt: now().Add(period)}
}

// Record records the time of a request. Beyond maxKeys keys in a period, further ones are ignored.
func (t *Table) Record(key string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	h := t.current[key]
	if h == nil {
		if len(t.current) >= maxKeys {
			return
		}
		h = newHistogram()
		t.current[key] = h
	}
	_ = h.RecordValue(min(max(took, time.Millisecond), maxTime).Milliseconds()) // it is in the range
}

// ShareLonger returns the share of a key's recent requests that took longer than a time, from 0 to 1. It returns false
// if too few are known.
func (t *Table) ShareLonger(key string, than time.Duration) (share float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance()
	all, longer := int64(0), int64(0)
	for _, h := range []*hdrhistogram.Histogram{t.current[key], t.former[key]} {
		if h == nil {
			continue
		}
		all += h.TotalCount()
		for _, bar := range h.Distribution() {
			if bar.To > than.Milliseconds() {
				longer += bar.Count
			}
		}
	}
	if all < minTimes {
		return 0, false
	}
	return float64(longer) / float64(all), true
}

// advance begins a new period if it is time. t.mu must be held.
func (t *Table) advance() {
	now := t.now()
	if now < t.endsAt {
		return
	}
	t.former = t.current
	if now.Sub(t.endsAt) >= period {
		t.former = nil
	}
	t.current, t.endsAt = times{}, now.Add(period)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTime.Milliseconds(), significantDigits)
}
