// Package clock defines trailshed's representation of points in time and a clock
// that keeps counting while the machine is suspended.
package clock

import "time"

// Millis is a point in time in milliseconds since the Unix epoch. Within one
// process it never goes backwards, because Clock derives it from the monotonic
// clock.
type Millis int64

// Add returns m+d, with d truncated to whole milliseconds.
func (m Millis) Add(d time.Duration) Millis {
	return m + Millis(d.Milliseconds())
}

// Sub returns the time from o to m, which is negative if m is earlier. The two must
// be at most 292 years apart, the range of time.Duration.
func (m Millis) Sub(o Millis) time.Duration {
	return time.Duration(m-o) * time.Millisecond
}

// InMillis returns d in milliseconds, including fractions.
func InMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Time returns m as a time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// System returns the Now method of a new Clock on this machine's clocks.
func System() func() Millis { return Open(Machine()).Now }

// From returns the Now method of a new Clock on the given source.
func From(s Source) func() Millis { return Open(s).Now }
