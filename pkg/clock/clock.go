// Package clock gives trailshed its one representation of a moment.
package clock

import "time"

// Millis is a moment in milliseconds since the Unix epoch. Within one process
// it never runs backwards, because Clock counts it on the steady clock.
type Millis int64

// Add returns the moment d later, rounded down to a millisecond.
func (m Millis) Add(d time.Duration) Millis {
	return m + Millis(d.Milliseconds())
}

// Sub returns the time from o to m; it is negative when m is the earlier. The two must
// be within 292 years, which is what a time.Duration holds.
func (m Millis) Sub(o Millis) time.Duration {
	return time.Duration(m-o) * time.Millisecond
}

// InMillis returns a length of time in milliseconds, with their fractions.
func InMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Time returns the moment as wall-clock time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// System returns a function that reads the present moment of this machine, as
// Clock.Now does.
func System() func() Millis { return Open(Machine()).Now }

// From is System for a source.
func From(s Source) func() Millis { return Open(s).Now }
