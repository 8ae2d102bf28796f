package dialer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/uplink"
)

// What is concluded from an own connection that fails. Only a failure that no peer can explain is a silence.
func TestConclusions(t *testing.T) {
	tests := []struct {
		name                      string
		links                     fault // of this instance
		endpoint                  fault // for everyone
		overloaded, lone          bool  // lone: no peer answers
		others                    bool  // the other endpoint fails, too, and was tried before
		silent, unconfirmed, late bool  // the error's marks
	}{
		{"timed out", none, silent, false, false, false, true, false, false},
		{"timed out at both, so that the peer can't tell", none, silent, false, false, true, true, true, false},
		{"timed out, no peer", none, silent, false, true, false, true, false, false},
		{"timed out at both, no peer", none, silent, false, true, true, true, false, false},
		{"timed out, the peer was refused", silent, refuses, false, false, false, false, false, false},
		{"timed out at both, the peer was refused by both", silent, refuses, false, false, true, true, false, false},
		{"timed out while this instance is overloaded", none, silent, true, false, false, true, false, true},
		{"refused", none, refuses, false, false, false, false, false, false},
		{"refused at both, so that the peer can't tell", none, refuses, false, false, true, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, "e1", "e2")
			failing := []string{"e1"}
			if test.others {
				failing = append(failing, "e2")
			}
			for _, id := range failing {
				switch test.endpoint {
				case refuses:
					w.crash(id)
				case silent:
					w.silent.Store(w.endpoint(id).Address, true)
				case none:
				}
			}
			w.one.links.Store(int32(test.links))
			w.one.overloaded.Store(test.overloaded)
			if test.lone {
				w.two.Tunnels.Refuse()
			}
			if test.others {
				_, err := w.connect("e2")
				c.Assert(err, qt.IsNotNil)
			}
			_, err := w.connect("e1")
			c.Assert(err, qt.IsNotNil)
			c.Check(errors.Is(err, uplink.ErrSilent), qt.Equals, test.silent, qt.Commentf("%v", err))
			c.Check(errors.Is(err, uplink.ErrUnconfirmed), qt.Equals, test.unconfirmed, qt.Commentf("%v", err))
			c.Check(errors.Is(err, uplink.ErrLate), qt.Equals, test.late, qt.Commentf("%v", err))
			c.Check(errors.Is(err, uplink.ErrOwnLinks), qt.IsFalse)
			c.Check(w.one.Bypassed("e1"), qt.IsFalse)
		})
	}
}

// Guards against endpoints that were silent for a moment and are used again only when a request tries them: the
// dialer tries them itself, and keeps the connection.
func TestSilentEndpointsAreProbed(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world)
		probed bool
	}{
		{"timed out", func(w *world) { w.silent.Store(w.endpoint("e1").Address, true) }, true},
		{"timed out while this instance is overloaded", func(w *world) {
			w.silent.Store(w.endpoint("e1").Address, true)
			w.one.overloaded.Store(true)
		}, false},
		{"refused", func(w *world) { w.crash("e1") }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, "e1", "e2")
			e := w.endpoint("e1")
			test.change(w)
			_, err := w.connect("e1")
			c.Assert(err, qt.IsNotNil)
			w.one.overloaded.Store(false)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			before := w.one.dials.Load()
			go w.one.Run(ctx)
			if !test.probed {
				time.Sleep(600 * time.Millisecond) // two probes
				c.Assert(w.one.dials.Load(), qt.Equals, before)
				return
			}
			eventually(t, func() bool { return w.one.silences.Load() >= 2 })
			c.Assert(w.one.connections.Load(), qt.Equals, int64(0))
			w.silent.Delete(e.Address)
			eventually(t, func() bool { return w.one.connections.Load() == 1 })
			eventually(t, func() bool {
				l, err := w.one.pool.Lend(t.Context(), e.Address, "e1", time.Minute)
				if err != nil {
					return false
				}
				defer l.Close()
				return !l.Fresh
			})
			after := w.one.dials.Load()
			time.Sleep(600 * time.Millisecond)
			c.Assert(w.one.dials.Load(), qt.Equals, after) // it is silent no longer
		})
	}
}

// An endpoint that takes no requests any more is not probed, nor one that began to refuse connections.
func TestProbesEnd(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world)
	}{
		{"entry gone", func(w *world) { w.list = w.list[1:] }},
		{"refuses", func(w *world) {
			w.silent.Delete(w.endpoint("e1").Address)
			w.crash("e1")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, "e1", "e2")
			w.silent.Store(w.endpoint("e1").Address, true)
			_, err := w.connect("e1")
			c.Assert(errors.Is(err, uplink.ErrSilent), qt.IsTrue, qt.Commentf("%v", err))
			w.one.Run(ended(t, 400*time.Millisecond))
			c.Assert(w.one.silences.Load() > 0, qt.IsTrue)
			test.change(w)
			w.one.Run(ended(t, 400*time.Millisecond))
			before := w.one.dials.Load()
			w.one.Run(ended(t, 400*time.Millisecond))
			c.Assert(w.one.dials.Load(), qt.Equals, before)
		})
	}
}

// ended returns a context that ends after a time.
func ended(t *testing.T, after time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), after)
	t.Cleanup(cancel)
	return ctx
}
