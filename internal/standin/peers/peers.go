// Package peers connects parts of two instances under test, "n1" and "n2", over the
// real transport. Any certificate is accepted as that of the other instance.
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

// otherInstance maps the name of each of the two instances to that of the other.
var otherInstance = map[string]string{"n1": "n2", "n2": "n1"}

// Listen opens the transport of an instance, which accepts every certificate. It also
// returns the fingerprint of the instance's own certificate.
func Listen(t testing.TB, name string) (transport *peer.Transport, fingerprint string) {
	t.Helper()
	identity, err := peer.NewIdentity(name)
	qt.Assert(t, err, qt.IsNil)
	acceptAny := func(string) (string, bool) { return otherInstance[name], true }
	transport, err = peer.Listen(name, netip.MustParseAddrPort("127.0.0.1:0"), peer.PinnedTLS(identity, acceptAny), tally.NoopScope)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = transport.Close() }) // the error is ignored, as the router that subscribes through it may have closed it
	return transport, identity.Fingerprint
}

// Route runs a message router with the handlers that register adds, until the test
// ends.
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
