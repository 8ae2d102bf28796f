package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/trailshed/trailshed/internal/allotment"
	"github.com/trailshed/trailshed/internal/demand"
	"github.com/trailshed/trailshed/pkg/clock"
)

// Division says how what a limit allows is divided among the classes of a workspace's
// requests.
type Division struct {
	// Policy determines the ratio of each class. Without one, all requests of a workspace
	// are admitted at the same ratio.
	Policy allotment.Policy
	// Weight is the weight of a class of a workspace's requests. Without it all classes
	// weigh the same.
	Weight func(workspace string, c allotment.Class) float64
	// MaxClasses bounds the classes of a workspace; 0 means 16. Requests of further classes
	// are admitted at the ratio of all requests together.
	MaxClasses int
}

// defaultMaxClasses is enough for three levels of priority and five sizes, and keeps a
// message with the classes of a workspace below 500 bytes.
const defaultMaxClasses = 16

// Bound returns how many classes of a workspace are distinguished.
func (d Division) Bound() int {
	if d.MaxClasses > 0 {
		return d.MaxClasses
	}
	return defaultMaxClasses
}

// ClassTimeout is how long after its last request a class is forgotten.
const ClassTimeout = 30 * time.Second

// classSmoothingTime is the time constant of a class's rate. It decides only how a limit
// is divided: how much is admitted follows from the rate of all requests, which is noticed
// sooner.
const classSmoothingTime = time.Second

// classState is a ledger's state for one class of a workspace's requests.
type classState struct {
	requested  demand.Demand // in this zone
	reportedAt clock.Millis
}

// addClasses adds what was requested in each class since the previous report. A report
// without classes that comes before one with them says nothing about the time between.
func (w *workspaceState) addClasses(now clock.Millis, gap time.Duration, before, use Use) {
	if len(before.Classes) == 0 {
		return
	}
	recent := 1.0
	if gap > memberTimeout {
		recent = min(classSmoothingTime.Seconds()/gap.Seconds(), 1)
	}
	previous := make(map[allotment.Class]float64, len(before.Classes))
	for _, c := range before.Classes {
		previous[c.Class] = c.Requested
	}
	for _, c := range use.Classes {
		requested := c.Requested - previous[c.Class]
		if requested < 0 { // the instance forgot the class in between
			requested = c.Requested
		}
		if requested == 0 {
			continue
		}
		state := w.classes[c.Class]
		if state == nil {
			state = &classState{requested: demand.New(smoothingTime, classSmoothingTime)}
			w.classes[c.Class] = state
		}
		state.requested.Add(now, requested*recent)
		state.reportedAt = now
	}
}

// divide determines the ratio of each class of a workspace's requests. Requests that are
// in no list of classes, for example those of an instance of an earlier build, are
// admitted at the ratio of all requests together.
func (w *workspaceState) divide(policy allotment.Policy, demands []allotment.Demand, allowed, requested float64) {
	w.ratios = nil
	if len(demands) < 2 || w.admitRatio >= 1 {
		return
	}
	listed := 0.0
	for _, d := range demands {
		listed += d.Rate
	}
	// The rates of classes are averaged one by one, so that their sum may exceed the rate
	// of all requests.
	ratios := policy(allowed*listed/max(listed, requested), demands)
	for i, d := range demands {
		w.ratios = append(w.ratios, ClassRatio{Class: d.Class, AdmitRatio: ratios[i]})
	}
}

// classDemands returns the demand by class in all zones that are not silent, or nothing
// without a policy. It forgets classes that are not requested any more.
func (l *Ledger) classDemands(now clock.Millis, name string, w *workspaceState) []allotment.Demand {
	if l.Division.Policy == nil {
		return nil
	}
	rates := map[allotment.Class]float64{}
	for c, state := range w.classes {
		if now.Sub(state.reportedAt) > ClassTimeout {
			delete(w.classes, c)
			continue
		}
		rates[c] = state.requested.Now(now)
	}
	for _, z := range l.zones {
		if z.frozenShares != nil {
			continue
		}
		for _, c := range z.rates[name].Classes {
			rates[c.Class] += c.Requested
		}
	}
	var demands []allotment.Demand
	for _, c := range largest(rates, l.Division.Bound()) {
		d := allotment.Demand{Class: c, Rate: rates[c]}
		if l.Division.Weight != nil {
			d.Weight = l.Division.Weight(name, c)
		}
		demands = append(demands, d)
	}
	return demands
}

// classRates returns the demand by class in this zone.
func (l *Ledger) classRates(now clock.Millis, w *workspaceState) []ClassRate {
	rates := make(map[allotment.Class]float64, len(w.classes))
	for c, state := range w.classes {
		rates[c] = state.requested.Now(now)
	}
	var list []ClassRate
	for _, c := range largest(rates, l.Division.Bound()) {
		list = append(list, ClassRate{Class: c, Requested: rates[c]})
	}
	return list
}

// largest returns the classes with the highest rates, at most n.
func largest(rates map[allotment.Class]float64, n int) []allotment.Class {
	list := make([]allotment.Class, 0, len(rates))
	for c := range rates {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b allotment.Class) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(len(list), n)]
}
