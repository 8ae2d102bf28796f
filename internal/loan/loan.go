// Package loan lets instances use each other's part of the retry allowance. Each
// has a fixed part, so that none needs a message as long as failures spread evenly.
// In a large fleet a part is two or three sends, and failures do not: one instance
// has spent its part while its peers have used none. It then asks a few of them
// for some of theirs. Whoever lends counts the sends as made, before the borrower
// may make them, so that the sum is never more than the allowance: a reply that
// is lost costs sends, and frees none.
package loan

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/peer"
	"github.com/trailshed/trailshed/internal/roster"
)

const topic = "retry.borrow"

const (
	// AnswerWait bounds one peer's answer. Round trips in a zone take under a
	// millisecond; what failed waits meanwhile to be sent again.
	AnswerWait = 20 * time.Millisecond
	// asksMost is how many peers one request asks. With half of them spent, seven
	// borrowers in eight find a lender.
	asksMost = 3
)

// Request asks a peer for some sends.
type Request struct {
	Service string `cbor:"1,keyasint"`
	Sends   int    `cbor:"2,keyasint"`
}

// Reply is what the peer lends, which it has counted as made.
type Reply struct {
	Sends int `cbor:"1,keyasint"`
}

// Desk borrows and lends for one instance.
type Desk struct {
	Name, Zone string
	Transport  *peer.Transport
	Roster     *roster.Roster
	Scope      tally.Scope
	Wait       time.Duration // for one peer's answer, usually AnswerWait
	// Lend takes up to so many sends from this instance's own part of a service's
	// allowance and returns how many.
	Lend func(service string, sends int) int
}

// Register adds the handler of peers' requests.
func (d *Desk) Register(r *message.Router) {
	peer.Answer(r, d.Transport, topic, func(_ context.Context, _ peer.Sender, q Request) Reply {
		lent := d.Lend(q.Service, q.Sends)
		d.Scope.Counter("retries_lent").Inc(int64(lent))
		return Reply{Sends: lent}
	})
}

// Borrow asks peers of the own zone, one after the other in a random order, until
// they have lent so many sends, and returns how many they have. They are to be made
// at once: the lender forgets them a window after it has counted them.
func (d *Desk) Borrow(ctx context.Context, service string, sends int) int {
	got := 0
	for _, p := range d.lenders() {
		if got >= sends {
			break
		}
		got += d.ask(ctx, p, Request{Service: service, Sends: sends - got})
	}
	d.Scope.Counter("retries_borrowed").Inc(int64(got))
	return got
}

func (d *Desk) ask(ctx context.Context, p roster.Instance, q Request) int {
	ctx, cancel := context.WithTimeout(ctx, d.Wait)
	defer cancel()
	r, err := peer.Ask[Request, Reply](ctx, d.Transport, p.Address, topic, q)
	if err != nil {
		d.Scope.Counter("retries_unanswered").Inc(1) // it may have lent; nobody uses that then
		return 0
	}
	return r.Sends
}

// lenders are some other instances of the own zone.
func (d *Desk) lenders() []roster.Instance {
	var others []roster.Instance
	for _, i := range d.Roster.All() {
		if i.Zone == d.Zone && i.Name != d.Name {
			others = append(others, i)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), asksMost)]
}
