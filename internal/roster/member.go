package roster

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
)

// ErrLapsed says that a lease has expired.
var ErrLapsed = errors.New("lease has lapsed")

// Registry writes the entries of instances to the store.
type Registry struct {
	// Grant opens a lease.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease; ErrLapsed says that it has expired.
	Renew func(ctx context.Context, lease int64) error
	// Put writes an instance's entry, which is removed with the lease.
	Put func(ctx context.Context, i Instance, lease int64) error
}

const (
	// leaseTTL is how long an entry outlives its instance.
	leaseTTL = 6 * time.Second
	// renewInterval is how often an instance that watches the store renews its lease, and
	// any other after a call that failed: a renewal soon shows that the store is out of
	// reach, as a waiting watch does not. The others renew at every second interval, which
	// leaves them two more attempts before the entry lapses: the renewals of all instances
	// are most of the calls to the store.
	renewInterval = time.Second
)

// Member keeps this instance's own entry in the store.
type Member struct {
	Registry Registry
	Self     Instance
	Log      *eventlog.Log
	// OnCall is called with the outcome of each call; nil: the store answered.
	OnCall func(error)
	// Watching reports whether this instance watches the store.
	Watching func() bool

	changes      chan Instance
	lease        int64
	entryWritten bool // the store has the current entry
	callFailed   bool // the last call failed
	registered   atomic.Bool
}

// NewMember returns a member that has no entry yet.
func NewMember(r Registry, self Instance, log *eventlog.Log, onCall func(error), watching func() bool) *Member {
	return &Member{Registry: r, Self: self, Log: log, OnCall: onCall, Watching: watching, changes: make(chan Instance, 4)}
}

// Registered reports whether the store has ever had the entry, from which peers know this
// instance.
func (m *Member) Registered() bool { return m.registered.Load() }

// Change writes the entry again, as when the instance starts to leave, or when its entry
// was found missing.
func (m *Member) Change(self Instance) {
	select {
	case m.changes <- self:
	default: // changes are pending already; the last of them has the leaving state at the latest
	}
}

// Run keeps the entry until ctx ends.
func (m *Member) Run(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	m.register(ctx)
	skipped := false // at the last interval
	for {
		select {
		case <-ctx.Done():
			return
		case self := <-m.changes:
			m.Self = self
			m.register(ctx)
		case <-tick.C:
			skipped = !skipped && m.maySkipRenewal()
			if !skipped {
				m.renew(ctx)
			}
		}
	}
}

// maySkipRenewal reports whether a renewal may wait for the next interval.
func (m *Member) maySkipRenewal() bool { return m.entryWritten && !m.callFailed && !m.Watching() }

// renew renews the lease, or registers again if the lease has expired or the store lacks
// the current entry.
func (m *Member) renew(ctx context.Context) {
	if m.lease == 0 || !m.entryWritten {
		m.register(ctx)
		return
	}
	err := m.Registry.Renew(ctx, m.lease)
	if errors.Is(err, ErrLapsed) {
		m.lease = 0
		m.register(ctx)
		return
	}
	m.callFailed = err != nil
	m.OnCall(err)
}

// register writes the entry, with a new lease if the current one has expired.
func (m *Member) register(ctx context.Context) {
	err := m.put(ctx)
	if errors.Is(err, ErrLapsed) {
		m.lease = 0
		err = m.put(ctx)
	}
	m.OnCall(err)
	m.entryWritten = err == nil
	if m.entryWritten {
		m.registered.Store(true)
	}
	if err != nil {
		m.Log.Write(eventlog.Line{Event: eventlog.RegisterFailed, Detail: err.Error()})
		return
	}
	m.Log.Write(eventlog.Line{Event: eventlog.Registered, Count: m.lease})
}

// put writes the entry under the current lease, and opens one if there is none.
func (m *Member) put(ctx context.Context) error {
	if m.lease == 0 {
		lease, err := m.Registry.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		m.lease = lease
	}
	return m.Registry.Put(ctx, m.Self, m.lease)
}
