package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/notice"
)

// Guards against a limit that an application states to one of its users being taken for the
// endpoint's own: it would get no requests of anybody for that time.
func TestRetryAfterOfARejection(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header string
		want   time.Duration
	}{
		{"429, marked", 429, "Not-Run: 1\r\n", 30 * time.Second},
		{"429", 429, "", 0},
		{"429, marked as run", 429, "Not-Run: 0\r\n", 0},
		{"503, marked", 503, "Not-Run: 1\r\n", 30 * time.Second},
		{"503", 503, "", 30 * time.Second},
		{"200", 200, "", 0},
		{"500", 500, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newRawEndpoint(t, func(*rawEndpoint, int, int) string {
				return fmt.Sprintf("HTTP/1.1 %d x\r\nRetry-After: 30\r\n%sContent-Length: 0\r\n\r\n", test.status, test.header)
			})
			client := NewClient()
			var got notice.Notice
			client.OnNotice = func(_ netip.AddrPort, n notice.Notice, _ bool, _ time.Time) { got = n }
			_, _ = client.Call(context.Background(), e.address, Call{Attempt: "a.1", Method: http.MethodPost, Path: "x", Header: http.Header{}})
			qt.Check(t, got.Backoff, qt.Equals, test.want)
		})
	}
}
