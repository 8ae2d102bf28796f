// Package clock gives trailshed its one representation of a moment.
package clock

import "time"

// Millis is a moment in milliseconds since the Unix epoch. Within one process
// it never runs backwards, because System counts it on the monotonic clock.
type Millis int64

// Never is the moment that no deadline reaches.
const Never = Millis(1<<63 - 1)

// Add returns the moment d later, rounded down to a millisecond.
func (m Millis) Add(d time.Duration) Millis {
	return m + Millis(d.Milliseconds())
}

// Sub returns the time from o to m; it is negative when m is the earlier.
func (m Millis) Sub(o Millis) time.Duration {
	return time.Duration(m-o) * time.Millisecond
}

// InMillis returns a length of time in milliseconds, with their fractions.
func InMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Time returns the moment as wall-clock time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Source reads the machine's clocks. Tests replace it.
type Source struct {
	// Read returns, in one look, the time of day since 1970 and the steady clock, which
	// nobody sets, and which stands still while the machine is suspended.
	Read func() (day, steady time.Duration)
	// Asleep returns by how much the clock that counts from the machine's start, and
	// goes on while it is suspended, is ahead of the steady one.
	Asleep func() (time.Duration, error)
}

// System returns a function that reads the present moment. It fixes the offset
// to wall-clock time once and counts on the monotonic clock from there, so that
// a step of the wall clock moves no deadline.
func System() func() Millis { return From(Machine()) }

// From is System for a source.
func From(s Source) func() Millis {
	day, start := s.Read()
	offset := Millis(day.Milliseconds())
	return func() Millis {
		_, steady := s.Read()
		return offset.Add(steady - start)
	}
}
