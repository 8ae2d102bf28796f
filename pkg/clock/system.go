package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source reads the machine's clocks. Tests replace it.
type Source struct {
	// Read returns, in one look, the time of day since 1970 and the steady clock, which
	// nobody sets, and which stands still while the machine is suspended.
	Read func() (day, steady time.Duration)
	// Asleep returns by how much the clock that counts from the machine's start, and
	// goes on while it is suspended, is ahead of the steady one.
	Asleep func() (time.Duration, error)
}

const (
	// lookEvery is how often Asleep is called while nothing else asks for it. A
	// suspension shows at once by the time of day, which it moves against the steady
	// clock, unless somebody set the time of day back by as much.
	lookEvery = time.Second
	// moved is from which on the time of day has moved: less is what its adjustment
	// adds up to, or what lies between two looks.
	moved = time.Millisecond
)

// Clock reads the present moment. It fixes the offset to the time of day once and
// counts on the steady clock from there, and beside it the time that the machine is
// suspended: leases, waits and windows go on meanwhile for everybody else. A step of
// the time of day moves no deadline. A reading costs 108 ns (BenchmarkSystem), where one
// of the steady clock alone costs 43. It is safe for concurrent use.
type Clock struct {
	source Source
	offset Millis
	start  time.Duration // of the steady clock
	awake  time.Duration // what Asleep told at the start

	gap    atomic.Int64 // between time of day and steady clock at the last look, in ns
	looked atomic.Int64 // the steady clock then, in ns
	slept  atomic.Int64 // in ns
	mu     sync.Mutex   // held while looking
}

// Open returns a clock that begins now.
func Open(s Source) *Clock {
	day, steady := s.Read()
	c := &Clock{source: s, offset: Millis(day.Milliseconds()), start: steady}
	c.gap.Store(int64(day - steady))
	c.looked.Store(int64(steady))
	// Without the clock that goes on, the steady one alone is what there is.
	c.awake, _ = s.Asleep()
	return c
}

// Now is the present moment.
func (c *Clock) Now() Millis {
	day, steady := c.source.Read()
	gap := day - steady
	if (gap-time.Duration(c.gap.Load())).Abs() > moved || steady-time.Duration(c.looked.Load()) > lookEvery {
		c.look(gap, steady)
	}
	return c.offset.Add(steady - c.start + c.Slept())
}

// Slept is for how long the machine was suspended since the clock began.
func (c *Clock) Slept() time.Duration { return time.Duration(c.slept.Load()) }

// look finds out whether the machine was suspended. Where that cannot be read, the
// next reading of the clock tries again.
func (c *Clock) look(gap, steady time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asleep, err := c.source.Asleep()
	if err != nil {
		return
	}
	if longer := asleep - c.awake; longer-c.Slept() > moved {
		c.slept.Store(int64(longer))
	}
	c.gap.Store(int64(gap))
	c.looked.Store(int64(steady))
}
