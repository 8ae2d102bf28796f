// Package permit decides which requests may be sent to rate-limited endpoints, so that
// all instances together keep to each endpoint's limit without a coordinator.
//
// Each instance owns an equal share of every limit. It lends its share to the first
// instance of its zone, which lends the zone's shares to the first instance of the
// endpoint's zone. That instance issues a permit for each request, from any instance,
// at the rate of all the shares it holds. Loans are leases: an instance that is cut
// off, or whose borrower died, has its own share back once the lease has expired, so
// that the shares in use never exceed the limit.
//
// Decisions are pure: the caller passes the time.
package permit

import (
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// zoneLease is how long a share is lent to the first instance of a zone. The loan
	// is renewed several times within that.
	zoneLease = 2 * time.Second
	// crossZoneLease is how long a zone's shares are lent to another zone. It is
	// shorter than zoneLease because these shares must be back before the loans of
	// their owners expire.
	crossZoneLease = time.Second
	// leaseGrace is how much longer than the borrower the lender counts a loan as
	// active, because the borrower's lease starts when the message arrives.
	leaseGrace = 300 * time.Millisecond
	// instanceRetention is how long an instance that has disappeared still counts when
	// limits are divided: it may be cut off and using its own share.
	instanceRetention = 30 * time.Second
)

// Loan is a number of shares of the limits of endpoints.
type Loan struct {
	Shares int    `cbor:"1,keyasint"`
	Zone   string `cbor:"2,keyasint,omitempty"` // zone of the endpoints; empty for all zones
}

// covers reports whether the loan applies to endpoints of zone.
func (l Loan) covers(zone string) bool { return l.Zone == "" || l.Zone == zone }

// duration returns how long the loan lasts.
func (l Loan) duration() time.Duration {
	if l.Zone == "" {
		return zoneLease
	}
	return crossZoneLease
}

// Issuer tracks the shares of one instance and issues permits from them. It is not safe
// for concurrent use.
type Issuer struct {
	random   func() float64
	peak     peakCount
	borrowed map[loanKey]activeLoan
	lent     map[string]activeLoan // by zone of the endpoints
	pools    map[string]*pool
}

// loanKey identifies a borrowed loan by its lender and the zone of the endpoints.
type loanKey struct{ lender, zone string }

// activeLoan is a loan with its expiry.
type activeLoan struct {
	Loan
	borrower string // of a lent loan
	until    clock.Millis
}

// New returns an issuer that holds only its own share. random returns numbers
// in [0, 1).
func New(random func() float64) *Issuer {
	return &Issuer{random: random, borrowed: map[loanKey]activeLoan{}, lent: map[string]activeLoan{}, pools: map[string]*pool{}}
}

// SetInstances sets how many instances are known now, and whether these are all.
func (i *Issuer) SetInstances(now clock.Millis, instances int, all bool) {
	i.peak.complete = all
	i.peak.observe(now, instances)
}

// Borrow records a loan from another instance, replacing its previous loan for the same
// zone.
func (i *Issuer) Borrow(now clock.Millis, lender string, l Loan) {
	k := loanKey{lender, l.Zone}
	if l.Shares <= 0 {
		delete(i.borrowed, k)
		return
	}
	i.borrowed[k] = activeLoan{Loan: l, until: now.Add(l.duration())}
}

// Lend records that a loan is being sent to borrower and is active from now on.
func (i *Issuer) Lend(now clock.Millis, borrower string, l Loan) {
	i.lent[l.Zone] = activeLoan{Loan: l, borrower: borrower, until: now.Add(l.duration() + leaseGrace)}
}

// Returned records that borrower gave back the loan for endpoints of zone.
func (i *Issuer) Returned(borrower, zone string) {
	if i.lent[zone].borrower == borrower {
		delete(i.lent, zone)
	}
}

// Borrower returns the instance that holds the loan for endpoints of zone, if there is
// one.
func (i *Issuer) Borrower(now clock.Millis, zone string) (name string, lent bool) {
	loan, known := i.lent[zone]
	return loan.borrower, known && now < loan.until
}

// OwnLoan returns what an instance can lend to the first instance of its zone: its own
// share, unless it recently was the first itself and has lent that share to another
// zone.
func (i *Issuer) OwnLoan(now clock.Millis) Loan {
	for zone, loan := range i.lent {
		if zone != "" && now < loan.until {
			return Loan{}
		}
	}
	return Loan{Shares: 1}
}

// CrossZoneLoan returns what the first instance of a zone can lend for endpoints of
// another zone: its own share and those lent to it for long enough.
func (i *Issuer) CrossZoneLoan(now clock.Millis, zone string) Loan {
	l := Loan{Zone: zone}
	if _, lent := i.Borrower(now, ""); lent {
		return l
	}
	l.Shares = 1
	for k, loan := range i.borrowed {
		if k.zone == "" && loan.until.Sub(now) >= crossZoneLease+leaseGrace {
			l.Shares += loan.Shares
		}
	}
	return l
}

// shares returns how many shares of the limits of a zone's endpoints this instance may
// use.
func (i *Issuer) shares(now clock.Millis, zone string) int {
	for _, loan := range i.lent {
		if loan.covers(zone) && now < loan.until {
			return 0
		}
	}
	shares := 1
	for k, loan := range i.borrowed {
		switch {
		case now >= loan.until:
			delete(i.borrowed, k)
		case loan.covers(zone):
			shares += loan.Shares
		}
	}
	return shares
}

// BackgroundPriority is the priority of background calls, for which no caller waits. They
// get permits that no request needs.
const BackgroundPriority = 1000

// Request is a request for a permit.
type Request struct {
	Endpoint string  `cbor:"1,keyasint"`
	Zone     string  `cbor:"2,keyasint"` // the endpoint's
	Rate     float64 `cbor:"3,keyasint"` // the endpoint's limit, in requests a second
	Priority int     `cbor:"4,keyasint"` // 0 is the most urgent
}

// Decision is the response to a Request.
type Decision struct {
	Granted    bool          `cbor:"1,keyasint"`
	RetryAfter time.Duration `cbor:"2,keyasint"` // if denied: time until a permit may be available
}

// Issue issues a permit if one is available.
func (i *Issuer) Issue(now clock.Millis, req Request) Decision {
	p, rate := i.refill(now, req.Endpoint, req.Zone, req.Rate)
	return p.take(now, rate, req.Priority)
}

// WaitTime returns how long no permit is available here for the endpoint of req, or 0 if
// there is one.
func (i *Issuer) WaitTime(now clock.Millis, req Request) time.Duration {
	p, rate := i.refill(now, req.Endpoint, req.Zone, req.Rate)
	if p.tokens >= 1 {
		return 0
	}
	return p.waitTime(rate, 1)
}

// refill updates an endpoint's pool to the present time and returns it with the rate at
// which it fills.
func (i *Issuer) refill(now clock.Millis, endpoint, zone string, limit float64) (*pool, float64) {
	p := i.pools[endpoint]
	if p == nil {
		p = &pool{fraction: i.random(), updatedAt: now, denied: map[int]clock.Millis{}}
		i.pools[endpoint] = p
	}
	shares := i.shares(now, zone)
	rate := max(limit, probeRate) * i.peak.fraction(now, shares)
	p.refill(now, rate, permitLifetime*time.Duration(max(shares, 1)))
	return p, rate
}

// Retain removes the pools of endpoints that are no longer limited.
func (i *Issuer) Retain(limited func(endpoint string) bool) {
	for endpoint := range i.pools {
		if !limited(endpoint) {
			delete(i.pools, endpoint)
		}
	}
}
