// Package peers joins parts of two instances under test, "n1" and "n2", by their real
// transport, over which each takes the other for whom it expects.
package peers

import (
	"context"
	"net/netip"
	"testing"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/trailshed/trailshed/internal/peer"
)

// others names the other one of two instances.
var others = map[string]string{"n1": "n2", "n2": "n1"}

// Listen opens the transport of an instance, which takes every certificate. It returns
// the fingerprint of its own.
func Listen(t testing.TB, name string) (transport *peer.Transport, fingerprint string) {
	t.Helper()
	identity, err := peer.NewIdentity(name)
	qt.Assert(t, err, qt.IsNil)
	everybody := func(string) (string, bool) { return others[name], true }
	transport, err = peer.Listen(name, netip.MustParseAddrPort("127.0.0.1:0"), peer.Pinned(identity, everybody), tally.NoopScope)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = transport.Close() }) // the router, which subscribes through it, may have closed it
	return transport, identity.Fingerprint
}

// Route has what register adds to a router answer messages until the test ends.
func Route(t testing.TB, register func(*message.Router)) {
	t.Helper()
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	qt.Assert(t, err, qt.IsNil)
	register(router)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = router.Run(ctx) }()
	<-router.Running()
	t.Cleanup(cancel)
}
