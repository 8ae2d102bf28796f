// Package record makes recorded traces of the two users' workloads from a
// seed, in the proportions that their brief tells.
package record

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/trailshed/trailshed/internal/standin/engine"
	"github.com/trailshed/trailshed/internal/trace"
)

// Kind is one sort of request in a workload.
type Kind struct {
	Name    string
	Model   string
	Service string
	Rate    float64 // requests a second, on average
	Tokens  [2]int  // shortest and longest prompt
	Prefix  int     // tokens shared by the prompts of a workspace
	Out     [2]int  // shortest and longest answer
	Once    bool    // may not be repeated
}

// Workload is the callers of one user.
type Workload struct {
	Name       string
	Classes    []trace.Class
	Workspaces []Workspace
	Kinds      []Kind
	Peak       float64 // height of the peak over the mean rate
}

// Workspace is one customer with its class and share of the requests.
type Workspace struct {
	Name  string
	Class string
	Share float64
}

// Unions is the credit unions: long answers, members who wait at tills.
func Unions() Workload {
	return Workload{
		Name: "credit unions", Peak: 1.9,
		Classes: []trace.Class{{Name: "till", TTFTMS: 1000, TBTMS: 49}, {Name: "member", TTFTMS: 1500, TBTMS: 49}, {Name: "batch", TTFTMS: 3000, TBTMS: 80}},
		Workspaces: []Workspace{
			{"kestrel", "till", 0.25},
			{"thorn", "member", 0.3},
			{"umvoti", "member", 0.25},
			{"acacia", "batch", 0.2},
		},
		Kinds: []Kind{
			{Name: "dispute_summary", Model: "member-llm", Rate: 9, Tokens: [2]int{800, 4000}, Prefix: 512, Out: [2]int{60, 140}},
			{Name: "statement_query", Model: "member-llm", Rate: 14, Tokens: [2]int{400, 2000}, Prefix: 256, Out: [2]int{20, 70}},
			{Name: "fraud_alert", Model: "member-llm", Rate: 5, Tokens: [2]int{300, 1200}, Prefix: 256, Out: [2]int{30, 80}},
			{Name: "balance", Service: "accounts", Rate: 20},
			{Name: "transfer_confirmation", Service: "accounts", Rate: 8, Once: true},
		},
	}
}

// Couriers is Rutaviva: long manifests, answers of a few words.
func Couriers() Workload {
	return Workload{
		Name: "rutaviva couriers", Peak: 1.8,
		Classes: []trace.Class{{Name: "rider", TTFTMS: 1200, TBTMS: 49}, {Name: "store", TTFTMS: 2000, TBTMS: 60}},
		Workspaces: []Workspace{
			{"dispatch", "rider", 0.7},
			{"partners", "store", 0.3},
		},
		Kinds: []Kind{
			{Name: "address_check", Model: "dispatch-llm", Rate: 10, Tokens: [2]int{500, 2500}, Prefix: 256, Out: [2]int{3, 12}},
			{Name: "shopkeeper_reply", Model: "dispatch-llm", Rate: 6, Tokens: [2]int{1000, 6000}, Prefix: 512, Out: [2]int{8, 30}},
			{Name: "rider_assignment", Model: "dispatch-llm", Rate: 9, Tokens: [2]int{3000, 14000}, Prefix: 2048, Out: [2]int{4, 10}, Once: true},
			{Name: "tracking", Service: "tracking", Rate: 25},
		},
	}
}

// Slope is requests that are all alike, to measure what one of them costs.
func Slope(rate float64, tokens, out int) Workload {
	kind := Kind{Name: "address_check", Model: "dispatch-llm", Rate: rate, Tokens: [2]int{tokens, tokens}, Out: [2]int{out, out}}
	if tokens == 0 {
		kind = Kind{Name: "tracking", Service: "tracking", Rate: rate}
	}
	return Workload{
		Name: fmt.Sprintf("%d tokens in, %d out", tokens, out), Peak: 1,
		Classes:    []trace.Class{{Name: "rider", TTFTMS: 1200, TBTMS: 49}},
		Workspaces: []Workspace{{"dispatch", "rider", 1}},
		Kinds:      []Kind{kind},
	}
}

// Make records seconds of a workload at a multiple of its rate.
func (w Workload) Make(seconds, scale float64, seed uint64) *trace.Trace {
	random := rand.New(rand.NewPCG(seed, 1))
	t := &trace.Trace{Header: trace.Header{Name: w.Name, Classes: w.Classes}}
	for _, k := range w.Kinds {
		for at := 0.0; ; {
			at += random.ExpFloat64() / (k.Rate * scale * w.height(at/seconds))
			if at >= seconds {
				break
			}
			t.Requests = append(t.Requests, w.request(random, k, at))
		}
	}
	slices.SortStableFunc(t.Requests, func(a, b trace.Request) int { return int(a.AtMS - b.AtMS) })
	return t
}

// height is the rate's course: quiet, one peak in the middle, quiet.
func (w Workload) height(part float64) float64 {
	s := math.Sin(part * math.Pi)
	return 0.5 + (w.Peak-0.5)*s*s*s*s
}

const (
	cancelPart = 0.03 // callers who give up
	againPart  = 0.10 // callers who ask again with the same key
)

func (w Workload) request(random *rand.Rand, k Kind, at float64) trace.Request {
	ws := w.pick(random)
	r := trace.Request{
		AtMS: int64(at * 1000), Workspace: ws.Name, Class: ws.Class, Kind: k.Name,
		Model: k.Model, Service: k.Service, Seed: int64(random.Uint64() >> 12),
	}
	if k.Once {
		r.Key = fmt.Sprintf("%s-%d", k.Name, r.Seed)
		if random.Float64() < againPart {
			r.AgainMS = 1 + random.Int64N(1500)
		}
	}
	if k.Service != "" {
		r.Digest = engine.Digest([]byte(r.Body()))
		return r
	}
	r.Prefix, r.PrefixTokens = ws.Name+" "+k.Name+" instructions", k.Prefix
	r.Tokens = between(random, k.Tokens)
	r.Out = between(random, k.Out)
	if random.Float64() < cancelPart {
		r.CancelMS = 50 + random.Int64N(2000)
	}
	r.Digest = trace.DigestOf(strings.Join(engine.Answer(r.Prompt(), r.Out), ""))
	return r
}

// between favours short lengths, as real prompts and answers do.
func between(random *rand.Rand, limits [2]int) int {
	f := random.Float64()
	return limits[0] + int(f*f*float64(limits[1]-limits[0]))
}

func (w Workload) pick(random *rand.Rand) Workspace {
	f := random.Float64()
	for _, ws := range w.Workspaces {
		if f -= ws.Share; f < 0 {
			return ws
		}
	}
	return w.Workspaces[len(w.Workspaces)-1]
}
