package endpoint

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// callTime bounds the calls of a test.
const callTime = 5 * time.Second

// Guards against calls that are answered with what is no response of HTTP/1.1.
func TestMalformedResponses(t *testing.T) {
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 000 without a body", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"},
		{"status 000, marked as not run", "HTTP/1.1 000 None\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"status +20", "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 999", "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\n{}"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Filler: 1\r\nContent-Length: 2\r\n\r\n{}"},
		{"blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\n{}"},
		{"blank before a name", "HTTP/1.1 200 OK\r\nX-Filler: 1\r\n Content-Length: 2\r\n\r\n{}"},
		{"blank before a name, behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Filler: 1\r\n Y: 2\r\nContent-Length: 2\r\n\r\n{}"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Filler: 1\r\nContent-Length: 2\r\n\r\n{}"},
		{"blank in a name, marked as not run", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nX Filler: 1\r\nContent-Length: 2\r\n\r\n{}"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := newRawEndpoint(t, func(*rawEndpoint, int, int) string { return test.response })
			ctx, cancel := context.WithTimeout(t.Context(), callTime)
			defer cancel()
			client := NewClient()
			for _, once := range []bool{true, false} {
				_, err := client.Call(ctx, e.address, Call{Method: http.MethodPost, Header: http.Header{}, AtMostOnce: once})
				c.Check(err, qt.ErrorIs, ErrMayHaveRun)
			}
			_, err := client.Prefill(ctx, e.address, PrefillRequest{})
			c.Check(err, qt.ErrorIs, ErrMayHaveRun)
			err = client.Decode(ctx, e.address, DecodeRequest{}, func(Token) error { return nil })
			c.Check(err, qt.ErrorIs, ErrMayHaveRun)
		})
	}
}
