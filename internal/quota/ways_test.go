package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/trailshed/trailshed/internal/admission"
	"github.com/trailshed/trailshed/internal/quota"
	"github.com/trailshed/trailshed/pkg/clock"
)

// The other ways to keep a limit over all instances, in as much detail as decides
// how much they admit and how many messages they take.

// parts gives each instance its part of the limit for good, as it has now while it
// hears nobody.
type parts struct{ gates []*admission.Gate }

func newParts(instances int) *parts {
	p := &parts{}
	for range instances {
		p.gates = append(p.gates, admission.New(0))
	}
	return p
}

func (p *parts) admit(now clock.Millis, instance int) (admitted bool, messages int) {
	return p.gates[instance].Admit(now, "w", large, request, len(p.gates)).Admitted, 0
}

// owner keeps the limit's bucket and hands out advances of a request, which lapse
// after a time. An instance that does not reach it has what it holds.
type owner struct {
	bucket   float64
	at       clock.Millis
	advances map[int][]clock.Millis // by instance: when each lapses
	cut      func(instance int) bool
}

const (
	// advanceLife is how long an advance may wait for its request.
	advanceLife = 2 * time.Second
	// ahead is how many advances an instance that asks gets beside the one it needs,
	// so that the next request waits for no message.
	ahead = 1
)

func (o *owner) admit(now clock.Millis, instance int) (admitted bool, messages int) {
	o.bucket = min(o.bucket+large.Rate*now.Sub(o.at).Seconds(), large.Burst)
	o.at = now
	for i, list := range o.advances {
		kept := slices.DeleteFunc(list, func(lapses clock.Millis) bool { return lapses <= now })
		o.bucket += request * float64(len(list)-len(kept)) // returned by lapsing
		o.advances[i] = kept
	}
	if held := o.advances[instance]; len(held) > 0 {
		o.advances[instance] = held[1:]
		admitted = true
	}
	if o.cut(instance) {
		return admitted, 0
	}
	for range ahead + 1 - len(o.advances[instance]) {
		if o.bucket < request {
			break
		}
		o.bucket -= request
		if !admitted {
			admitted = true // this one waits for the answer
			continue
		}
		o.advances[instance] = append(o.advances[instance], now.Add(advanceLife))
	}
	return admitted, 2
}

// BenchmarkWays compares the ways: which part of what is asked is admitted, and how
// many messages a request takes, at 78 and 373 instances in three zones. A limit is
// 1.8 times what is usual.
func BenchmarkWays(b *testing.B) {
	scenes := []struct {
		name  string
		times float64 // of the limit's rate
		cut   bool    // a third of the instances from all others
	}{{"usual", usual, false}, {"nine_tenths", 0.9, false}, {"six_times_usual", 6 * usual, false}, {"a_third_cut_off", usual, true}}
	for _, instances := range []int{78, 373} {
		for _, s := range scenes {
			cut := func(i int) bool { return s.cut && i%3 == 2 }
			b.Run(fmt.Sprintf("parts/%s/%d", s.name, instances), func(b *testing.B) {
				for b.Loop() {
					report(b, newParts(instances).admit, instances, s.times)
				}
			})
			b.Run(fmt.Sprintf("owner/%s/%d", s.name, instances), func(b *testing.B) {
				for b.Loop() {
					o := &owner{bucket: large.Burst, at: start, advances: map[int][]clock.Millis{}, cut: cut}
					report(b, o.admit, instances, s.times)
				}
			})
			b.Run(fmt.Sprintf("sums/%s/%d", s.name, instances), func(b *testing.B) {
				for b.Loop() {
					reportSums(b, instances, s.times, s.cut)
				}
			})
		}
	}
}

const (
	start  = clock.Millis(100_000)
	length = 20 * time.Second
)

// report plays a way that decides request by request.
func report(b *testing.B, admit func(clock.Millis, int) (bool, int), instances int, times float64) {
	w := newWorld(1, 1, 1, nil) // for its random numbers
	asked, admitted, messages := 0.0, 0.0, 0
	for now := start; now < start.Add(length); now = now.Add(10 * time.Millisecond) {
		for range w.poisson(times * large.Rate / request * 0.01) {
			ok, n := admit(now, w.random.IntN(instances))
			asked++
			messages += n
			if ok {
				admitted++
			}
		}
	}
	b.ReportMetric(admitted/asked, "admitted/asked")
	b.ReportMetric(float64(messages)/asked, "messages/request")
}

// reportSums plays the way that stands, in the world of this package's tests.
func reportSums(b *testing.B, instances int, times float64, cut bool) {
	w := newWorld(1, instances, 3, map[string]quota.Limit{"w": large})
	w.play(10*time.Second, even(w, usual*large.Rate))
	if cut {
		w.apart = func(x, y *instance) bool { return x != y && (x.index%3 == 2 || y.index%3 == 2) }
	}
	asked, admitted := w.asked["w"], w.admitted["w"]
	w.messages = 0
	w.play(length, even(w, times*large.Rate))
	requests := (w.asked["w"] - asked) / request
	b.ReportMetric((w.admitted["w"]-admitted)/request/requests, "admitted/asked")
	b.ReportMetric(float64(w.messages)/requests, "messages/request")
}
