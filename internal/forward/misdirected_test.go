package forward

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/broker"
	"github.com/trailshed/trailshed/internal/placement"
)

// Guards against a sound endpoint that is taken for gone, because it rejects requests for a stage that it no longer
// has: it would not be used until its entry changes again, which it has done already.
func TestMisdirectedByTheEndpointThatWasMeant(t *testing.T) {
	tests := []struct {
		name, sender string
		prefill      bool
		gone         int
	}{
		{"unknown sender, prefill", "", true, 1},
		{"unknown sender, decode", "", false, 1},
		{"another endpoint, prefill", "other", true, 1},
		{"another endpoint, decode", "other", false, 1},
		{"the endpoint itself, prefill", prefillEngine, true, 0},
		{"the endpoint itself, decode", decodeEngine, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			gone := 0
			g.ReportGone = func(string) { gone++ }
			serveAt(t, g, func(_ int64, r *http.Request) string {
				return wireAnswer(http.StatusMisdirectedRequest, r.Header.Get("Id"), "")
			})
			g.Codec.ReadHead = func(r *http.Response) ResponseHead {
				return ResponseHead{RequestID: r.Header.Get("Id"), NotRun: true, Misdirected: true, Sender: test.sender}
			}
			g.place = &broker.Place{Grant: placement.Grant{Decode: decodeEngine, Prefill: prefillEngine}}
			if test.prefill {
				c.Check(g.runPrefill(t.Context(), prefillEngine), qt.IsFalse)
				c.Check(g.prefill.tried, qt.Contains, prefillEngine)
			} else {
				c.Check(g.begin(t.Context(), g.Balancer.ReserveAt(g.Now(), g.view.Find(decodeEngine))), qt.IsFalse)
				c.Check(g.tried, qt.Contains, decodeEngine)
			}
			c.Check(gone, qt.Equals, test.gone)
			c.Check(g.record.MayHaveRun(), qt.Equals, 0)
			c.Check(g.Balancer.Ejected(g.Now()), qt.HasLen, 0)
		})
	}
}
