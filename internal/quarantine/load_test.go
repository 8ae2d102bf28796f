package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/prompt"
	"github.com/trailshed/trailshed/internal/quarantine"
	"github.com/trailshed/trailshed/pkg/clock"
)

// partPolicy decides which prompts are held.
type partPolicy struct {
	name  string
	ended func(now clock.Millis, parts []prompt.Part, endpoint string)
	begun func(now, begun clock.Millis, parts []prompt.Part)
	holds func(now clock.Millis, parts []prompt.Part) bool
}

// tablePolicy is the policy of Table.
func tablePolicy() partPolicy {
	t := quarantine.NewTable()
	return partPolicy{
		name:  "table",
		ended: func(now clock.Millis, parts []prompt.Part, e string) { t.RecordPartEnd(now, promptOf("", parts...), e) },
		begun: func(now, begun clock.Millis, parts []prompt.Part) {
			t.RecordPartsBegun(now, promptOf("", parts...), begun)
		},
		holds: func(now clock.Millis, parts []prompt.Part) bool {
			_, held := t.HoldsPrompt(now, promptOf("", parts...))
			return held
		},
	}
}

// countPolicy holds a part that three endpoints ended with. If cleared is set, an answer on the part
// clears it of earlier ends.
func countPolicy(cleared bool) partPolicy {
	ends := map[prompt.Part]map[string]clock.Millis{}
	return partPolicy{
		name: fmt.Sprintf("count, cleared by answers: %t", cleared),
		ended: func(now clock.Millis, parts []prompt.Part, e string) {
			for _, part := range parts {
				if ends[part] == nil {
					ends[part] = map[string]clock.Millis{}
				}
				ends[part][e] = now
			}
		},
		begun: func(_, begun clock.Millis, parts []prompt.Part) {
			for _, part := range parts {
				for e, at := range ends[part] {
					if cleared && at <= begun {
						delete(ends[part], e)
					}
				}
			}
		},
		holds: func(_ clock.Millis, parts []prompt.Part) bool {
			return slices.ContainsFunc(parts, func(part prompt.Part) bool { return len(ends[part]) >= 3 })
		},
	}
}

// intersectionPolicy holds the parts that all of the last three ends have in common, but for those on
// which an answer was begun since the first of them.
func intersectionPolicy() partPolicy {
	type end struct {
		parts []prompt.Part
		at    clock.Millis
	}
	byEndpoint, order := map[string]end{}, []string(nil)
	begunAt := map[prompt.Part]clock.Millis{}
	return partPolicy{
		name: "intersection",
		ended: func(now clock.Millis, parts []prompt.Part, e string) {
			if _, known := byEndpoint[e]; !known {
				order = append(order, e)
			}
			known := byEndpoint[e]
			byEndpoint[e] = end{append(known.parts, parts...), now}
		},
		begun: func(_, begun clock.Millis, parts []prompt.Part) {
			for _, part := range parts {
				begunAt[part] = max(begunAt[part], begun)
			}
		},
		holds: func(_ clock.Millis, parts []prompt.Part) bool {
			if len(order) < 3 {
				return false
			}
			last := order[len(order)-3:]
			return slices.ContainsFunc(parts, func(part prompt.Part) bool {
				return begunAt[part] < byEndpoint[last[0]].at && !slices.ContainsFunc(last, func(e string) bool { return !slices.Contains(byEndpoint[e].parts, part) })
			})
		},
	}
}

// crashLoad is a load of crashing and sound requests on one service.
type crashLoad struct {
	name     string
	crashing float64 // requests a second
	parts    int     // crashing parts, which come in turn
	fresh    bool    // no answer was written before the first crash, as after a restart of everything
	engines  int     // loadEngines if 0
	// wave engines end at once at every waveInterval, whatever they run.
	wave         int
	waveInterval time.Duration
}

// crashResult is how a policy did under a load.
type crashResult struct {
	crashes, late int     // late: sends from contactTime after the fifth crash
	refused       float64 // share of the sound requests from contactTime after the fifth crash
	before        float64 // the same until then
}

const (
	loadSound       = 30.0 // sound requests a second
	loadEngines     = 18   // unless a load has fewer
	loadDuration    = 20 * time.Second
	loadFirstEvent  = 100 * time.Millisecond // from a send to the first event, or to the crash
	loadSecondEvent = 240 * time.Millisecond
	loadRestart     = 3 * time.Second
	loadNews        = 10 * time.Millisecond // until all instances know what one observed
	contactTime     = 3 * time.Second       // the users' bound for contact
)

// loadRun is a request that an engine has, until its second event.
type loadRun struct {
	parts    []prompt.Part
	crashes  bool
	engine   int
	due      clock.Millis // of the first event, or of the crash
	hasBegun bool
}

// play plays a load. Every prompt begins with the same part; its second part is that of a subject, and
// a crashing one has its crashing part behind.
func (l crashLoad) play(p partPolicy, seed uint64) (result crashResult) {
	draw := rand.New(rand.NewPCG(seed, 7))
	engines := cmp.Or(l.engines, loadEngines)
	down, lives := make([]clock.Millis, engines), make([]int, engines) // until when; how often they ended
	var runs []loadRun
	var news []func()
	var newsAt []clock.Millis
	fifth, sound, refused := clock.Millis(0), [2]int{}, [2]int{}
	subject := func() prompt.Part { return prompt.Part("s" + strconv.Itoa(int(draw.ExpFloat64()*20))) }
	send := func(now clock.Millis, parts []prompt.Part, crashes bool) {
		late := 0
		if fifth != 0 && now.Sub(fifth) > contactTime {
			late = 1
		}
		held := p.holds(now, parts)
		if !crashes {
			sound[late]++
		}
		if held && !crashes {
			refused[late]++
		}
		up := slices.DeleteFunc(slices.Collect(countTo(engines)), func(n int) bool { return down[n] > now })
		if held || len(up) == 0 {
			return
		}
		if crashes {
			result.late += late
		}
		runs = append(runs, loadRun{parts: parts, crashes: crashes, engine: up[draw.IntN(len(up))], due: now.Add(loadFirstEvent)})
	}
	end := func(now clock.Millis, engine int) {
		down[engine] = now.Add(loadRestart)
		lives[engine]++
		name := fmt.Sprintf("e%d-%d", engine, lives[engine])
		for _, cut := range runs {
			if cut.engine == engine && !cut.hasBegun {
				news, newsAt = append(news, func() { p.ended(now, cut.parts, name) }), append(newsAt, now.Add(loadNews))
			}
		}
		runs = slices.DeleteFunc(runs, func(cut loadRun) bool { return cut.engine == engine })
	}
	begin := start
	if !l.fresh {
		for n := range 40 {
			p.begun(begin, begin, []prompt.Part{"q", prompt.Part("s" + strconv.Itoa(n))})
		}
	}
	for now := begin + 1; now.Sub(begin) < loadDuration; now++ {
		for len(newsAt) > 0 && newsAt[0] <= now {
			news[0]()
			news, newsAt = news[1:], newsAt[1:]
		}
		if draw.Float64() < loadSound/1000 {
			send(now, []prompt.Part{"q", subject()}, false)
		}
		if l.parts > 0 && draw.Float64() < l.crashing/1000 {
			send(now, []prompt.Part{"q", subject(), prompt.Part("x" + strconv.Itoa(draw.IntN(l.parts)))}, true)
		}
		if l.wave > 0 && now.Sub(begin)%l.waveInterval == 0 {
			for _, engine := range draw.Perm(engines)[:l.wave] {
				if down[engine] <= now {
					end(now, engine)
				}
			}
		}
		for i := 0; i < len(runs); i++ {
			r := runs[i]
			if r.due > now {
				continue
			}
			switch {
			case r.crashes:
				if result.crashes++; result.crashes == 5 {
					fifth = now
				}
				end(now, r.engine)
				i = -1
			case !r.hasBegun:
				runs[i].hasBegun, runs[i].due = true, now.Add(loadSecondEvent)
			default:
				news, newsAt = append(news, func() { p.begun(now, now.Add(-loadSecondEvent), r.parts) }), append(newsAt, now.Add(loadNews))
				runs = slices.Delete(runs, i, i+1)
				i--
			}
		}
	}
	result.before = float64(refused[0]) / float64(max(sound[0], 1))
	result.refused = float64(refused[1]) / float64(max(sound[1], 1))
	return result
}

// countTo yields 0 to n-1.
func countTo(n int) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	}
}

// Load: requests with crashing parts between sound ones that share the other parts of their prompts, at
// rates around those that the users report. Their bounds: from contactTime after the fifth crash on
// three sends at most for each part, and sound requests run at least half as often as without; what is
// aimed at is nine tenths. Faults that are no request's doing hold no part either.
func TestCrashingPartsUnderLoad(t *testing.T) {
	loads := []crashLoad{
		{name: "1 a second", crashing: 1, parts: 1},
		{name: "10 a second", crashing: 10, parts: 1},
		{name: "60 a second", crashing: 60, parts: 1},
		{name: "10 a second, after a restart of all", crashing: 10, parts: 1, fresh: true},
		{name: "60 a second, after a restart of all", crashing: 60, parts: 1, fresh: true},
		{name: "10 a second, two parts", crashing: 10, parts: 2},
		{name: "10 a second, two parts, after a restart of all", crashing: 10, parts: 2, fresh: true},
		{name: "10 a second, three parts", crashing: 10, parts: 3},
		{name: "60 a second, two parts, after a restart of all", crashing: 60, parts: 2, fresh: true},
		{name: "waves of 6 engines of 18", wave: 6, waveInterval: 2 * time.Second},
		{name: "all 3 engines end at once", engines: 3, wave: 3, waveInterval: 5 * time.Second, fresh: true},
		{name: "all 18 engines end at once", wave: 18, waveInterval: 5 * time.Second},
		{name: "an engine of 18 each 150 ms", wave: 1, waveInterval: 150 * time.Millisecond},
		{name: "an engine of 6 each 300 ms", engines: 6, wave: 1, waveInterval: 300 * time.Millisecond, fresh: true},
	}
	const seeds, otherSeeds = 20, 3 // the other ways are there for comparison
	policies := []func() partPolicy{
		func() partPolicy { return countPolicy(false) }, func() partPolicy { return countPolicy(true) }, intersectionPolicy, tablePolicy,
	}
	for _, l := range loads {
		for _, newPolicy := range policies {
			var worst, sum crashResult
			name := ""
			plays := otherSeeds
			if newPolicy().name == "table" {
				plays = seeds
			}
			for seed := range uint64(plays) {
				p := newPolicy()
				name = p.name
				r := l.play(p, seed)
				sum.crashes, sum.refused, sum.before = sum.crashes+r.crashes, sum.refused+r.refused, sum.before+r.before
				worst = crashResult{max(worst.crashes, r.crashes), max(worst.late, r.late), max(worst.refused, r.refused), max(worst.before, r.before)}
			}
			t.Logf("%-46s %-32s crashes %5.1f (most %3d), late sends at most %3d, sound refused until then %.3f (most %.3f), later %.3f (most %.3f)", l.name, name,
				float64(sum.crashes)/float64(plays), worst.crashes, worst.late, sum.before/float64(plays), worst.before, sum.refused/float64(plays), worst.refused)
			if name != "table" {
				continue
			}
			qt.Check(t, worst.late <= 3*l.parts, qt.IsTrue, qt.Commentf("%s: %d late sends", l.name, worst.late))
			qt.Check(t, max(worst.refused, worst.before) <= 0.1, qt.IsTrue, qt.Commentf("%s: %.2f of the sound requests are refused", l.name, max(worst.refused, worst.before)))
		}
	}
}
