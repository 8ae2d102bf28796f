package gateway_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Requests got no answer while their callers kept connections through overloads and a planned stop. Those on kept
// connections, which rest for a short time only, are answered; others may be left unread, but not passed on.
func TestCallersThroughOverloadAndPlannedStop(t *testing.T) {
	const (
		callers = 12
		seeds   = 3
		before  = 500 * time.Millisecond // of the stop
		grace   = 2 * time.Second
	)
	for seed := range uint64(seeds) {
		c := qt.New(t)
		n := startInstance(t, grace, nil)
		done := make(chan struct{})
		var answered, ended, missed atomic.Int64
		var group sync.WaitGroup
		for caller := range uint64(callers) {
			group.Go(func() {
				random := rand.New(rand.NewPCG(seed, caller))
				for {
					select {
					case <-done:
						return
					default:
					}
					k, err := n.tryDial(t)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					kept := false
					for keep := true; keep; kept = keep {
						text, half := k.message()
						err := k.write(text[:half])
						time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
						if err == nil {
							err = k.write(text[half:])
						}
						if err == nil {
							_, keep, err = k.answer()
						}
						switch {
						case err == nil:
							answered.Add(1)
						case kept || n.passedOn(k.id):
							missed.Add(1)
							t.Logf("request %s, kept connection: %t, passed on: %t: %v", k.id, kept, n.passedOn(k.id), err)
						default:
							ended.Add(1)
						}
						keep = keep && err == nil
						time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
					}
					_ = k.conn.Close()
				}
			})
		}
		random := rand.New(rand.NewPCG(seed, callers))
		for end := time.Now().Add(before); time.Now().Before(end); {
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			n.BeginOverload()
		}
		n.beginStop()
		<-n.done
		close(done)
		group.Wait()
		c.Check(missed.Load(), qt.Equals, int64(0), qt.Commentf("seed %d", seed))
		c.Check(answered.Load() >= callers, qt.IsTrue, qt.Commentf("seed %d", seed))
		t.Logf("seed %d: %d answered, %d not read", seed, answered.Load(), ended.Load())
	}
}
