// Package record generates traces of the two users' workloads from a seed, in the
// proportions given by the users.
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

// Kind is a kind of request in a workload.
type Kind struct {
	Name          string
	Model         string
	Service       string
	Rate          float64 // requests a second, on average
	PromptTokens  [2]int  // shortest and longest prompt
	PrefixTokens  int     // tokens shared by the prompts of a workspace
	OutputTokens  [2]int  // shortest and longest answer
	NotIdempotent bool    // must not run twice, so requests carry an idempotency key
}

// Workload describes the requests of one user.
type Workload struct {
	Name       string
	Classes    []trace.Class
	Workspaces []Workspace
	Kinds      []Kind
	PeakRatio  float64 // rate at the peak as a multiple of Kind.Rate
}

// Workspace is a customer with its class and share of the requests.
type Workspace struct {
	Name  string
	Class string
	Share float64
}

// Unions is the workload of the credit unions: long answers, for members who wait at
// tills.
func Unions() Workload {
	return Workload{
		Name: "credit unions", PeakRatio: 1.9,
		Classes: []trace.Class{{Name: "till", TTFTMS: 1000, TBTMS: 49}, {Name: "member", TTFTMS: 1500, TBTMS: 49}, {Name: "batch", TTFTMS: 3000, TBTMS: 80}},
		Workspaces: []Workspace{
			{"kestrel", "till", 0.25},
			{"thorn", "member", 0.3},
			{"umvoti", "member", 0.25},
			{"acacia", "batch", 0.2},
		},
		Kinds: []Kind{
			{Name: "dispute_summary", Model: "member-llm", Rate: 9, PromptTokens: [2]int{800, 4000}, PrefixTokens: 512, OutputTokens: [2]int{60, 140}},
			{Name: "statement_query", Model: "member-llm", Rate: 14, PromptTokens: [2]int{400, 2000}, PrefixTokens: 256, OutputTokens: [2]int{20, 70}},
			{Name: "fraud_alert", Model: "member-llm", Rate: 5, PromptTokens: [2]int{300, 1200}, PrefixTokens: 256, OutputTokens: [2]int{30, 80}},
			{Name: "balance", Service: "accounts", Rate: 20},
			{Name: "transfer_confirmation", Service: "accounts", Rate: 8, NotIdempotent: true},
		},
	}
}

// Couriers is the workload of the courier company Rutaviva: long manifests as prompts
// and answers of a few words.
func Couriers() Workload {
	return Workload{
		Name: "rutaviva couriers", PeakRatio: 1.8,
		Classes: []trace.Class{{Name: "rider", TTFTMS: 1200, TBTMS: 49}, {Name: "store", TTFTMS: 2000, TBTMS: 60}},
		Workspaces: []Workspace{
			{"dispatch", "rider", 0.7},
			{"partners", "store", 0.3},
		},
		Kinds: []Kind{
			{Name: "address_check", Model: "dispatch-llm", Rate: 10, PromptTokens: [2]int{500, 2500}, PrefixTokens: 256, OutputTokens: [2]int{3, 12}},
			{Name: "shopkeeper_reply", Model: "dispatch-llm", Rate: 6, PromptTokens: [2]int{1000, 6000}, PrefixTokens: 512, OutputTokens: [2]int{8, 30}},
			{Name: "rider_assignment", Model: "dispatch-llm", Rate: 9, PromptTokens: [2]int{3000, 14000}, PrefixTokens: 2048, OutputTokens: [2]int{4, 10}, NotIdempotent: true},
			{Name: "tracking", Service: "tracking", Rate: 25},
		},
	}
}

// Slope is a workload of requests of the same kind and size, to measure the cost of one.
func Slope(rate float64, tokens, out int) Workload {
	kind := Kind{Name: "address_check", Model: "dispatch-llm", Rate: rate, PromptTokens: [2]int{tokens, tokens}, OutputTokens: [2]int{out, out}}
	if tokens == 0 {
		kind = Kind{Name: "tracking", Service: "tracking", Rate: rate}
	}
	return Workload{
		Name: fmt.Sprintf("%d tokens in, %d out", tokens, out), PeakRatio: 1,
		Classes:    []trace.Class{{Name: "rider", TTFTMS: 1200, TBTMS: 49}},
		Workspaces: []Workspace{{"dispatch", "rider", 1}},
		Kinds:      []Kind{kind},
	}
}

// Generate generates a trace of the given duration in seconds, at a multiple of the
// workload's rate.
func (w Workload) Generate(seconds, scale float64, seed uint64) *trace.Trace {
	random := rand.New(rand.NewPCG(seed, 1))
	t := &trace.Trace{Header: trace.Header{Name: w.Name, Classes: w.Classes}}
	for _, k := range w.Kinds {
		for at := 0.0; ; {
			at += random.ExpFloat64() / (k.Rate * scale * w.relativeRate(at/seconds))
			if at >= seconds {
				break
			}
			t.Requests = append(t.Requests, w.request(random, k, at))
		}
	}
	slices.SortStableFunc(t.Requests, func(a, b trace.Request) int { return int(a.AtMS - b.AtMS) })
	return t
}

// relativeRate returns the rate, as a multiple of the average, after the given
// fraction of the trace: it is low at the ends, with one peak in the middle.
func (w Workload) relativeRate(elapsed float64) float64 {
	s := math.Sin(elapsed * math.Pi)
	return 0.5 + (w.PeakRatio-0.5)*s*s*s*s
}

const (
	cancelRatio = 0.03 // fraction of callers that disconnect early
	repeatRatio = 0.10 // fraction of callers that repeat a request with the same key
)

func (w Workload) request(random *rand.Rand, k Kind, at float64) trace.Request {
	ws := w.pickWorkspace(random)
	r := trace.Request{
		AtMS: int64(at * 1000), Workspace: ws.Name, Class: ws.Class, Kind: k.Name,
		Model: k.Model, Service: k.Service, Seed: int64(random.Uint64() >> 12),
	}
	if k.NotIdempotent {
		r.Key = fmt.Sprintf("%s-%d", k.Name, r.Seed)
		if random.Float64() < repeatRatio {
			r.RepeatAfterMS = 1 + random.Int64N(1500)
		}
	}
	if k.Service != "" {
		r.Digest = engine.Digest([]byte(r.Body()))
		return r
	}
	r.Prefix, r.PrefixTokens = ws.Name+" "+k.Name+" instructions", k.PrefixTokens
	r.Tokens = randomLength(random, k.PromptTokens)
	r.OutputTokens = randomLength(random, k.OutputTokens)
	if random.Float64() < cancelRatio {
		r.CancelAfterMS = 50 + random.Int64N(2000)
	}
	r.Digest = trace.DigestOf(strings.Join(engine.Answer(r.Prompt(), r.OutputTokens), ""))
	return r
}

// randomLength returns a random length between the limits. Short lengths are more
// likely, as in real prompts and answers.
func randomLength(random *rand.Rand, limits [2]int) int {
	f := random.Float64()
	return limits[0] + int(f*f*float64(limits[1]-limits[0]))
}

func (w Workload) pickWorkspace(random *rand.Rand) Workspace {
	f := random.Float64()
	for _, ws := range w.Workspaces {
		if f -= ws.Share; f < 0 {
			return ws
		}
	}
	return w.Workspaces[len(w.Workspaces)-1]
}
