package gateway

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/trailshed/trailshed/internal/eventlog"
	"github.com/trailshed/trailshed/internal/intake"
	"github.com/trailshed/trailshed/internal/overload"
)

// listenForCallers opens the listener for callers, which takes no more than this instance can serve.
func (g *Gateway) listenForCallers(address string) (net.Listener, error) {
	g.port = &overload.Listener{
		Listen:         func() (net.Listener, error) { return listenTCP(address) },
		MaxConnections: maxCallerConnections(), Now: g.now, Room: g.room, Admit: g.admitConnection,
		OnUnread: func(reason string) {
			g.unread.Add(1)
			g.counters.Scope.Tagged(map[string]string{"reason": reason}).Counter("connections_unread").Inc(1)
		},
		OnRefused: func(length time.Duration, err error) {
			g.counters.Scope.Counter("connections_refused_ms").Inc(length.Milliseconds())
			if left, absence := g.rotation.RecordRefusals(g.now(), length); left {
				g.log.Write(eventlog.Line{Event: eventlog.RotationLeft, Took: absence})
			}
			if err != nil {
				g.log.Write(eventlog.Line{Event: eventlog.ListenFailed, Address: address, Detail: err.Error()})
			}
		},
	}
	if err := g.port.Open(); err != nil {
		return nil, err
	}
	address = g.port.Addr().String() // the port is opened again with the number that it got
	return g.connections.Listener(g.port), nil
}

// lastAnswers reports whether answers are the last ones on their connections. What comes on open connections can't be
// refused, so that their callers are to open new ones, also while the instance is overloaded.
func (g *Gateway) lastAnswers() bool { return g.leaving.Load() || g.overloaded() }

// room returns how many requests can be taken beside those in progress and a number of connections that are yet to
// be read, and the number below which none is taken.
func (g *Gateway) room(unread int) (room, few int) {
	if !g.settings.Load().Callers.Refuse {
		return math.MaxInt32, 0
	}
	g.updateLimit()
	return g.limit.Room(g.now(), g.forwarder.Unanswered()+unread)
}

// admitConnection decides whether a new connection is read, after it has waited for the processor.
func (g *Gateway) admitConnection(waited time.Duration) bool {
	g.processorWait.Record(g.now(), waited)
	g.updateLimit()
	return !g.overloaded() || !g.limit.Late(g.now(), waited)
}

// updateLimit lets the limit on requests in progress follow the waits of this instance.
func (g *Gateway) updateLimit() {
	if !g.settings.Load().Callers.Refuse {
		return
	}
	g.applyWaits(intake.Measure(g.now(), g.processorWait, g.connectTime))
}

func (g *Gateway) applyWaits(waits intake.Waits) {
	unanswered := g.forwarder.Unanswered()
	change := g.limit.Update(g.now(), waits, unanswered)
	if change == intake.None {
		return
	}
	line := eventlog.Line{Detail: fmt.Sprintf("%d requests not answered yet, wait for the processor %v, time to connect %v", unanswered, waits.Processor, waits.Connect)}
	if change == intake.Began {
		g.unread.Store(0)
		line.Event, line.Reason = eventlog.Overloaded, waits.Binding()
	} else {
		line.Event, line.Count = eventlog.OverloadEnded, g.unread.Load()
	}
	g.log.Write(line)
}
