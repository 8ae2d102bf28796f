package gateway_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pause is long enough for what was sent to be read by an instance, in most runs. No verdict depends on it.
const pause = 100 * time.Millisecond

// Callers' requests got no answer: connections that net/http holds for idle were closed when overload began, with
// a request partly read, unread in the socket, or on its way.
func TestRequestsOnKeptConnectionsAreAnsweredInOverload(t *testing.T) {
	tests := []struct {
		name  string
		early func(text string, half int) int // bytes that are sent before the overload
		after time.Duration                   // from its beginning to the rest of the request
	}{
		{"header partly read", func(_ string, half int) int { return half }, pause},
		{"body partly read", func(text string, _ int) int { return len(text) - 2 }, pause},
		{"sent at that moment", func(string, int) int { return 0 }, 0},
		{"sent later", func(string, int) int { return 0 }, pause},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := startInstance(t, 300*time.Millisecond, nil)
			var callers []*kept
			var rests []string
			for range 20 {
				k := n.dial(t)
				status, keep, err := k.exchange()
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, http.StatusOK)
				c.Assert(keep, qt.IsTrue)
				text, half := k.message()
				early := test.early(text, half)
				c.Assert(k.write(text[:early]), qt.IsNil)
				callers, rests = append(callers, k), append(rests, text[early:])
			}
			time.Sleep(pause)
			n.BeginOverload()
			time.Sleep(test.after)
			for i, k := range callers {
				if err := k.write(rests[i]); err != nil {
					t.Logf("caller %d: %v", i, err)
				}
			}
			answered, ended := 0, 0
			for i, k := range callers {
				status, keep, err := k.answer()
				if err == nil && !keep && (status == http.StatusOK || status == http.StatusServiceUnavailable) {
					answered++
				} else {
					t.Logf("caller %d: status %d, kept: %t, %v", i, status, keep, err)
				}
				if _, err = k.reader.ReadByte(); errors.Is(err, io.EOF) {
					ended++
				}
			}
			c.Check(answered, qt.Equals, len(callers))
			c.Check(ended, qt.Equals, len(callers))
		})
	}
}

// Callers' requests got no answer at a planned stop: connections on which a request was partly read were closed, as
// idle or once the request was read.
func TestRequestsOnConnectionsAreAnsweredInPlannedStop(t *testing.T) {
	const grace = 3 * time.Second
	tests := []struct {
		name string
		kept bool          // a request was answered on the connection before
		rest time.Duration // from the beginning of the stop to the rest of the request
	}{
		{"kept connection, while new ones may arrive", true, grace / 4},
		{"kept connection, later", true, grace * 2 / 3},
		{"new connection, while others may arrive", false, grace / 4},
		{"new connection, later", false, grace * 2 / 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel() // mostly waits
			c := qt.New(t)
			n := startInstance(t, grace, nil)
			n.learnTimes(t)
			k := n.dial(t)
			if test.kept {
				_, keep, err := k.exchange()
				c.Assert(err, qt.IsNil)
				c.Assert(keep, qt.IsTrue)
			}
			text, half := k.message()
			c.Assert(k.write(text[:half]), qt.IsNil)
			n.beginStop()
			time.Sleep(test.rest)
			c.Check(k.write(text[half:]), qt.IsNil)
			status, keep, err := k.answer()
			c.Check(err, qt.IsNil)
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(keep, qt.IsFalse)
			<-n.done
		})
	}
}
