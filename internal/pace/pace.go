// Package pace learns the speed of a service's model engines from observed requests:
// the time to prefill a prompt, the time to the first event, the time per output token
// and the lengths of answers. Each quantity is a line fitted to the latest requests by
// medians, so that single outliers, or one slow or failing engine among healthy ones,
// do not affect it. Conservative priors are used until enough was observed. Learning is
// pure: it reads no clock and does no I/O.
package pace

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// Quantity identifies the quantity that an Observation or a Figure measures.
type Quantity int

// The quantities, each with the size and the outcome of its observations.
const (
	PrefillTime      Quantity = iota // prefill at an idle prefill engine: tokens of the prompt, ms until it answers
	PrefillInterval                  // prefill of queued prompts: tokens of the prompt, ms from the previous answer
	FirstEventTime                   // decode with the KV cache from another engine: tokens of the prompt, ms to the first event
	LocalPrefillTime                 // prefill and decode at one engine: tokens of the prompt, ms to the first event
	TokenTime                        // decode: running requests, ms per token
	AnswerLength                     // answers of a route: expected tokens, actual tokens; Engine is the route
	PromptTokens                     // prompts of a route: 0, tokens
	AnswerTokens                     // answers of a route, whatever was expected: 0, tokens
	quantityCount
)

const (
	// maxSamples is the number of latest requests kept per engine. A change of an
	// engine shows after half as many.
	maxSamples = 16
	// minSamples is the number of requests from which an engine is taken into account:
	// a median over fewer may be a single outlier.
	minSamples = 4
	// maxSampleAge is how long an engine is predicted as slower or faster than the
	// others after the requests that showed it. After that it gets requests again,
	// which show whether it still is.
	maxSampleAge = 20 * time.Second
	// minDeviation is the difference from other engines above which an engine gets its
	// own prediction; smaller ones are mostly noise.
	minDeviation = 0.1
	// maxPeers bounds the number of instances whose figures are kept.
	maxPeers = 8
	// highQuantile is the fraction of requests that take no longer than [Span.P90].
	highQuantile = 0.9
)

// AnyEngine selects the prediction for a typical engine of a service.
const AnyEngine = ""

// Observation is the outcome of one request. Size and Outcome depend on the [Quantity].
type Observation struct {
	Service  string
	Engine   string
	Quantity Quantity
	Size     float64
	Outcome  float64
}

// Model holds the estimators of all services. It is safe for concurrent use.
type Model struct {
	prior Prior

	mu         sync.Mutex
	estimators map[key]*estimator
}

type key struct {
	service  string
	quantity Quantity
}

// New returns a model without observations, which predicts by prior.
func New(prior Prior) *Model {
	return &Model{prior: prior, estimators: map[key]*estimator{}}
}

// Unlearned returns a model with the same prior and without observations.
func (m *Model) Unlearned() *Model { return New(m.prior) }

// Learn adds one observation. Invalid times and numbers, from engines that report
// nonsense, are ignored.
func (m *Model) Learn(now clock.Millis, o Observation) {
	if !(o.Size >= 0) || !(o.Outcome > 0) || math.IsInf(o.Size+o.Outcome, 0) {
		return
	}
	if o.Quantity == AnswerLength {
		o.Size, o.Outcome = logTokens(o.Size), logTokens(o.Outcome)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.estimator(o.Service, o.Quantity).learn(o.Engine, sample{size: o.Size, outcome: o.Outcome, at: now})
}

// Span is a predicted time, as the median and the 90th percentile of requests.
type Span struct {
	Median, P90 time.Duration
}

// Span predicts one of the times that depend on the prompt: [PrefillTime],
// [PrefillInterval], [FirstEventTime] or [LocalPrefillTime].
func (m *Model) Span(quantity Quantity, service, engine string, prompt int) Span {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.estimator(service, quantity)
	predicted := e.predict(engine, float64(prompt))
	return Span{Median: millisToDuration(predicted), P90: millisToDuration(predicted * e.spread())}
}

// Median returns only the median of [Model.Span], because the cost of the percentile
// grows with the number of engines.
func (m *Model) Median(quantity Quantity, service, engine string, prompt int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return millisToDuration(m.estimator(service, quantity).predict(engine, float64(prompt)))
}

// TokenTime predicts the time per token at an engine with a number of running requests.
func (m *Model) TokenTime(service, engine string, running int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return millisToDuration(m.estimator(service, TokenTime).predict(engine, float64(running)))
}

// Tokens is a predicted length, as the median and the mean of answers.
type Tokens struct {
	Median, Mean int
}

// AnswerLength predicts the length of an answer on a route from the length that the
// caller expects, or 0. maxTokens is the maximum length, or 0 if unknown.
func (m *Model) AnswerLength(service, route string, expected, maxTokens int) Tokens {
	if expected <= 0 {
		expected = int(m.prior.LengthFraction * float64(maxTokens))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.estimator(service, AnswerLength)
	predicted := math.Exp(e.predict(route, logTokens(float64(expected))))
	mean := predicted * e.meanRatio()
	if maxTokens > 0 {
		predicted, mean = min(predicted, float64(maxTokens)), min(mean, float64(maxTokens))
	}
	return Tokens{Median: int(math.Round(predicted)), Mean: int(math.Round(mean))}
}

// Typical returns the typical size of a service's prompts or answers in tokens, or false
// if none was observed.
func (m *Model) Typical(quantity Quantity, service string) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.estimator(service, quantity)
	tokens := e.predict(AnyEngine, 0)
	return int(tokens), e.known
}

// ObservationCount returns the number of observations of a quantity by this process.
func (m *Model) ObservationCount(service string, quantity Quantity) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.estimator(service, quantity).observations
}

// Forget drops the samples of removed engines, those for which live returns false.
// Samples of routes are kept: routes are few, and their samples are bounded.
func (m *Model) Forget(live func(engine string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, e := range m.estimators {
		if id.quantity < AnswerLength {
			e.forget(live)
		}
	}
}

func (m *Model) estimator(service string, quantity Quantity) *estimator {
	id := key{service, quantity}
	e := m.estimators[id]
	if e == nil {
		e = &estimator{prior: m.prior.line(quantity), logarithmic: quantity == AnswerLength, engines: map[string]*history{}, reported: map[string]Figure{}}
		m.estimators[id] = e
	}
	return e
}

func logTokens(tokens float64) float64 { return math.Log(max(tokens, 1)) }

// millisToDuration converts ms, rounded to a microsecond.
func millisToDuration(v float64) time.Duration {
	return time.Duration(math.Round(v*1000)) * time.Microsecond
}

// median sorts its argument, which must not be empty.
func median(list []float64) float64 { return quantile(list, 0.5) }

// quantile sorts its argument, which must not be empty.
func quantile(list []float64, fraction float64) float64 {
	slices.Sort(list)
	return quantileOfSorted(list, fraction)
}

// quantileOfSorted is quantile for a sorted list.
func quantileOfSorted(list []float64, fraction float64) float64 {
	return list[min(int(fraction*float64(len(list))), len(list)-1)]
}
