package permit

import (
	"math"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// probeRate is the minimum rate, in requests a second, at which requests are sent
	// to an endpoint whose limit is 0 or close to it. Without them no instance would
	// learn that the endpoint accepts requests again.
	probeRate = 0.2
	// permitLifetime is how long an unused permit stays valid, for each share that the
	// issuer holds. Without an expiry, many isolated instances whose shares fill once a
	// minute would each have a permit ready and use them all at once.
	permitLifetime = 500 * time.Millisecond
	// reserveTime is how long after a more urgent request was denied one permit is
	// reserved for the next request of that urgency.
	reserveTime = time.Second
	// MaxDenial is the longest that a denied requester should wait before it asks again:
	// shares lent meanwhile may yield permits sooner than the shares held at the denial
	// would.
	MaxDenial = time.Second
	// noShareDelay is the retry delay when the issuer holds no share.
	noShareDelay = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time after which a denied request may
	// be repeated. maxRetryDelay is also when an endpoint whose limit is 0 is tried again.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// pool holds the permits of one endpoint.
type pool struct {
	tokens    float64
	fraction  float64 // of the next token
	filledAt  clock.Millis
	updatedAt clock.Millis
	denied    map[int]clock.Millis // by priority: time of the last denial
}

// refill adds the tokens that accrued since the last update, at rate tokens a second.
// Tokens not used within lifetime expire, and no more are kept than accrue within
// permitLifetime, plus one.
func (p *pool) refill(now clock.Millis, rate float64, lifetime time.Duration) {
	total := p.fraction + rate*max(now.Sub(p.updatedAt), 0).Seconds()
	whole := math.Floor(total)
	p.updatedAt, p.fraction = now, total-whole
	if whole > 0 {
		p.tokens += whole
		p.filledAt = now.Add(-time.Duration(p.fraction / rate * float64(time.Second)))
	}
	p.tokens = min(p.tokens, 1+math.Floor(rate*permitLifetime.Seconds()))
	if now.Sub(p.filledAt) > lifetime {
		p.tokens = 0
	}
}

// take issues a permit if one is available. The last one is reserved if a more urgent
// request was denied within reserveTime.
func (p *pool) take(now clock.Millis, rate float64, priority int) Decision {
	need := 1.0
	for other, at := range p.denied {
		if other < priority && now.Sub(at) < reserveTime {
			need = 2
		}
	}
	if p.tokens >= need {
		p.tokens--
		return Decision{Granted: true}
	}
	p.denied[priority] = now
	return Decision{RetryAfter: p.waitTime(rate, need)}
}

// waitTime returns how long it takes until need tokens are available.
func (p *pool) waitTime(rate, need float64) time.Duration {
	if rate == 0 {
		return noShareDelay
	}
	seconds := (need - p.tokens - p.fraction) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryDelay), maxRetryDelay)
}
