package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/platform"
)

// Guards against a write that counts as done by what is no response of HTTP/1.1.
func TestMalformedResponsesProveNothing(t *testing.T) {
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 999", "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Filler: 1\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n{}"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, test.response)
			}))
			defer s.Close()
			store := platform.Connect(netip.MustParseAddrPort(s.Listener.Addr().String()), time.Second, tally.NoopScope)
			_, err := store.Put(t.Context(), "k", []byte("v"), 0)
			c.Check(err, qt.ErrorIs, platform.ErrUnknown)
			c.Check(store.Delete(t.Context(), "k", 0), qt.ErrorIs, platform.ErrUnknown)
		})
	}
}
