package roster

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// ErrLapsed says that a lease is over.
var ErrLapsed = errors.New("lease has lapsed")

// Registry writes entries of instances.
type Registry struct {
	// Grant opens a lease.
	Grant func(ctx context.Context, life time.Duration) (int64, error)
	// Renew keeps a lease; ErrLapsed says that it is over.
	Renew func(ctx context.Context, lease int64) error
	// Put writes an instance's entry, which goes with the lease.
	Put func(ctx context.Context, i Instance, lease int64) error
}

const (
	// leaseLife is how long an entry outlives its instance.
	leaseLife = 6 * time.Second
	// renewEvery is how often an instance that watches the store renews its lease,
	// and any other after a call that failed: a renewal tells soon that the store
	// is out of reach, as a watch that waits does not. The others renew at each
	// second turn, which leaves them two tries more before the entry lapses: all
	// instances together make most of the calls to the store.
	renewEvery = time.Second
)

// Member keeps this instance's own entry.
type Member struct {
	Registry Registry
	Self     Instance
	Log      *eventlog.Log
	// Reached is told of each call's outcome; nil: the store answered.
	Reached func(error)
	// Watching says whether this instance watches the store.
	Watching func() bool

	changed    chan Instance
	lease      int64
	written    bool // the entry, as it is now, is in the store
	failed     bool // the last call did
	registered atomic.Bool
}

// NewMember returns a member that has no entry yet.
func NewMember(r Registry, self Instance, log *eventlog.Log, reached func(error), watching func() bool) *Member {
	return &Member{Registry: r, Self: self, Log: log, Reached: reached, Watching: watching, changed: make(chan Instance, 4)}
}

// Registered says whether the entry has ever been in the store, from which peers know it.
func (m *Member) Registered() bool { return m.registered.Load() }

// Change writes the entry anew, as when the instance begins to leave, or when
// its entry was found missing.
func (m *Member) Change(self Instance) {
	select {
	case m.changed <- self:
	default: // changes wait already; the last one says leaving at the latest
	}
}

// Run keeps the entry until ctx ends.
func (m *Member) Run(ctx context.Context) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	m.register(ctx)
	rested := false // at the last turn
	for {
		select {
		case <-ctx.Done():
			return
		case self := <-m.changed:
			m.Self = self
			m.register(ctx)
		case <-tick.C:
			rested = !rested && m.mayRest()
			if !rested {
				m.renew(ctx)
			}
		}
	}
}

// mayRest says whether a renewal may wait for the next turn.
func (m *Member) mayRest() bool { return m.written && !m.failed && !m.Watching() }

func (m *Member) renew(ctx context.Context) {
	if m.lease == 0 || !m.written {
		m.register(ctx)
		return
	}
	err := m.Registry.Renew(ctx, m.lease)
	if errors.Is(err, ErrLapsed) {
		m.lease = 0
		m.register(ctx)
		return
	}
	m.failed = err != nil
	m.Reached(err)
}

func (m *Member) register(ctx context.Context) {
	err := m.put(ctx)
	if errors.Is(err, ErrLapsed) {
		m.lease = 0
		err = m.put(ctx)
	}
	m.Reached(err)
	m.written = err == nil
	if m.written {
		m.registered.Store(true)
	}
	if err != nil {
		m.Log.Write(eventlog.Line{Event: eventlog.RegisterFailed, Detail: err.Error()})
		return
	}
	m.Log.Write(eventlog.Line{Event: eventlog.Registered, Count: m.lease})
}

func (m *Member) put(ctx context.Context) error {
	if m.lease == 0 {
		lease, err := m.Registry.Grant(ctx, leaseLife)
		if err != nil {
			return err
		}
		m.lease = lease
	}
	return m.Registry.Put(ctx, m.Self, m.lease)
}
