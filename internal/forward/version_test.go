package forward

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/directory"
)

// A stream goes on only at the software version that sent its first event, and nowhere if that is
// unknown.
func TestVersionsThatAStreamExcludes(t *testing.T) {
	tests := []struct {
		name     string
		version  streamVersion
		software string
		excludes bool
	}{
		{"not begun", streamVersion{}, "v1", false},
		{"its version", streamVersion{began: true, software: "v1"}, "v1", false},
		{"another version", streamVersion{began: true, software: "v1"}, "v2", true},
		{"its version is unknown", streamVersion{began: true}, "v1", true},
		{"neither version is known", streamVersion{began: true}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.version.excludes(&directory.Endpoint{Software: test.software}), qt.Equals, test.excludes)
		})
	}
}

// Guards against engines of two software versions that a planner of an earlier build grants together:
// what one keeps of a prompt does not fit the other, so the decode engine reads the prompt itself.
func TestGrantOfTwoVersions(t *testing.T) {
	tests := []struct {
		name     string
		software string // of the decode engine; that of the prefill engine is v1
		prefill  bool   // the prompt is sent to the prefill engine
	}{
		{"the same version", "v1", true},
		{"another version", "v2", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEngineRequest(t)
			g.Codec.EncodeHeader = func(Call, Send) http.Header { return http.Header{} }
			for id, e := range map[string]directory.Endpoint{
				prefillEngine: {Stage: directory.Prefill, Software: "v1"}, decodeEngine: {Stage: directory.Decode, Software: test.software},
			} {
				e.ID, e.Entry, e.Service, e.Zone, e.Slots, e.Revision = id, id, "llm", "a", 8, 10
				e.Address = netip.MustParseAddrPort("127.0.0.1:1")
				g.Directory.Apply(g.Now(), directory.Seen{Endpoint: e})
			}
			c.Assert(g.engineStep(context.Background()), qt.Equals, stepRetry)
			c.Check(g.dials.Load() > 0, qt.Equals, test.prefill)
			if !test.prefill {
				c.Check(g.prefill.sends, qt.Equals, maxPrefillSends)
			}
		})
	}
}
