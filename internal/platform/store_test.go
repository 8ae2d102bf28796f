package platform_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/platform"
)

// Guards against a response of the store that has no end and is read into memory for as long as a call may take.
func TestEndlessResponseIsNotReadToItsEnd(t *testing.T) {
	c := qt.New(t)
	const most = 40 << 20 // bytes that the store gets rid of, with those on the way
	var written atomic.Int64
	closed := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(closed)
		chunk := bytes.Repeat([]byte("["), 64<<10)
		for written.Load() < 4*most {
			n, err := w.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer s.Close()
	store := platform.Connect(netip.MustParseAddrPort(s.Listener.Addr().String()), 20*time.Second, tally.NoopScope)
	_, err := store.Get(t.Context(), "key")
	c.Assert(err, qt.ErrorIs, platform.ErrUnknown) // nothing is known of what the call did
	<-closed
	c.Assert(written.Load() < most, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
}

// Guards against a write that counts as not done, though the store has done it, because its response can't be read.
func TestUnreadableResponseProvesNothing(t *testing.T) {
	tests := []struct{ name, body string }{
		{"empty", ""},
		{"cut", `{"key":"k","ver`},
		{"no JSON", "<html>"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.body) }))
			defer s.Close()
			store := platform.Connect(netip.MustParseAddrPort(s.Listener.Addr().String()), time.Second, tally.NoopScope)
			_, err := store.Put(t.Context(), "k", []byte("v"), 0)
			qt.Assert(t, err, qt.ErrorIs, platform.ErrUnknown)
		})
	}
}
