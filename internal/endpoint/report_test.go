package endpoint

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an error response being taken for the report of an endpoint that holds nothing:
// places of attempts that it still holds would be given to others.
func TestErrorIsNoReport(t *testing.T) {
	for _, status := range []int{200, 204, 302, 404, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			e := newRawEndpoint(t, func(*rawEndpoint, int, int) string {
				switch status {
				case 200:
					return "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}"
				case 204:
					return "HTTP/1.1 204 No Content\r\n\r\n"
				}
				return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 16\r\n\r\n{\"error\":\"busy\"}", status)
			})
			_, err := NewClient().Report(context.Background(), e.address, 0)
			qt.Check(t, err == nil, qt.Equals, status == 200, qt.Commentf("%v", err))
		})
	}
}
