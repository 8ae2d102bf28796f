package admission

import (
	"math"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/jitter"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/pkg/clock"
)

// localSmoothingTime is the time constant of a class's rate at one instance, which
// receives few requests of a class a second.
const localSmoothingTime = 4 * time.Second

// savingReserve is how much of its share an isolated instance saves beyond the units of
// the largest request.
const savingReserve = time.Second

// classState holds a gate's data of one class of a workspace's requests.
type classState struct {
	class       allotment.Class
	requested   float64 // units since the gate distinguishes the class
	requestedAt clock.Millis
	rate        float64 // units a second at requestedAt, averaged
	units       float64 // of the latest request
	credit      float64 // as in state
}

// class returns the state of a class, or nil if there are too many.
func (g *Gate) class(now clock.Millis, s *state, class allotment.Class) *classState {
	for _, c := range s.classes {
		if c.class == class {
			return c
		}
	}
	if len(s.classes) >= g.Division.Bound() {
		s.classes = slices.DeleteFunc(s.classes, func(c *classState) bool { return now.Sub(c.requestedAt) > quota.ClassTimeout })
	}
	if len(s.classes) >= g.Division.Bound() {
		return nil
	}
	c := &classState{class: class, credit: jitter.Fraction(int(g.startedAt) + len(g.workspaces) + len(s.classes))}
	s.classes = append(s.classes, c)
	return c
}

func (c *classState) add(now clock.Millis, units float64) {
	c.rate = c.rateAt(now) + units/localSmoothingTime.Seconds()
	c.requested += units
	c.requestedAt, c.units = now, units
}

func (c *classState) rateAt(now clock.Millis) float64 {
	return c.rate * math.Exp(-max(now.Sub(c.requestedAt), 0).Seconds()/localSmoothingTime.Seconds())
}

// classUses returns what was requested by class, if the workspace is near its limit.
func (s *state) classUses() []quota.ClassUse {
	if !s.nearLimit {
		return nil
	}
	uses := make([]quota.ClassUse, 0, len(s.classes))
	for _, c := range s.classes {
		uses = append(uses, quota.ClassUse{Class: c.class, Requested: c.requested})
	}
	return uses
}

// admitClassByShare divides the instance's share of a limit among the classes requested
// here, as a ledger divides the limit. What smaller requests leave is saved until it is
// enough for a large one.
func (s *state) admitClassByShare(d quota.Division, now, since clock.Millis, perSecond float64, c *classState, units float64) (ratio float64, ok bool, after time.Duration) {
	ratio, largest := s.localRatio(d, now, perSecond, c)
	// Small requests that arrive just before a large one must leave enough for it.
	s.save(now, since, perSecond, largest+perSecond*savingReserve.Seconds())
	c.credit = min(c.credit+ratio, 1+ratio)
	if c.credit < 1 {
		return ratio, false, retryAfter(ratio)
	}
	ok, after = s.spend(perSecond, units)
	if ok {
		c.credit--
	}
	return ratio, ok, after
}

// localRatio returns the fraction of the requests of a class that an instance on its own
// may admit, and the units of the largest request of any class.
func (s *state) localRatio(d quota.Division, now clock.Millis, perSecond float64, of *classState) (ratio, largest float64) {
	demands, index := make([]allotment.Demand, 0, len(s.classes)), 0
	for _, c := range s.classes {
		if now.Sub(c.requestedAt) > quota.ClassTimeout {
			continue
		}
		if c == of {
			index = len(demands)
		}
		demand := allotment.Demand{Class: c.class, Rate: c.rateAt(now)}
		if d.Weight != nil {
			demand.Weight = d.Weight(s.use.Workspace, c.class)
		}
		demands = append(demands, demand)
		largest = max(largest, c.units)
	}
	return d.Policy(perSecond, demands)[index], largest
}
