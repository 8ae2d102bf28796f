// Package peer carries watermill messages between trailshed processes, as CBOR frames on
// QUIC streams with mutual TLS. Messages of one sender arrive in order on a topic. A
// message may be lost with its connection but is never duplicated. The sender's name is
// the common name of its certificate.
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/quic-go/quic-go"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
)

// Error marks every error of this package.
var Error = errs.Class("peer")

// Metadata keys of a watermill message.
const (
	To            = "to"       // address of the receiver, set by the sender
	From          = "from"     // certified name of the sender
	Address       = "address"  // listening address of the sender
	replyTo       = "reply_to" // UUID of the request that this message replies to
	compressedKey = "packed"   // set if the payload is compressed
)

const (
	handshakeTimeout   = 2 * time.Second
	idleTimeout        = 6 * time.Second
	keepAliveInterval  = 2 * time.Second
	defaultQueueLength = 4096
	protocol           = "trailshed/1"
)

// Transport is a watermill publisher and subscriber over QUIC.
type Transport struct {
	name        string
	address     netip.AddrPort
	tls         *tls.Config
	quic        *quic.Transport
	listen      *quic.Listener
	scope       tally.Scope
	queueLength int // maximum number of queued frames per address
	ctx         context.Context
	stop        context.CancelFunc
	group       sync.WaitGroup
	lost        atomic.Pointer[func(netip.AddrPort) bool] // set by Partition; may be nil
	onStream    atomic.Pointer[func(string, *Stream)]     // set by HandleStreams; may be nil

	// Lock order: linksMu, a link's mu, callsMu. None of them is held while sending.
	linksMu      sync.Mutex
	closed       bool // no link is opened any more
	links        map[netip.AddrPort]*link
	inboundConns map[netip.AddrPort]*quic.Conn // dialled by peers, keyed by their advertised address
	openStreams  map[*quic.Conn]int            // streams in use, by connection
	callsMu      sync.Mutex
	calls        map[string]pendingCall
	subsMu       sync.RWMutex
	subs         map[string]*subscription
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	to    netip.AddrPort
	reply chan result
}

type result struct {
	payload []byte
	err     error
}

// Listen opens the transport of the node called name on address.
func Listen(name string, address netip.AddrPort, certificates *tls.Config, scope tally.Scope) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t := &Transport{
		name: name, address: conn.LocalAddr().(*net.UDPAddr).AddrPort(), tls: certificates, scope: scope, queueLength: defaultQueueLength,
		quic:  &quic.Transport{Conn: conn},
		links: map[netip.AddrPort]*link{}, inboundConns: map[netip.AddrPort]*quic.Conn{}, calls: map[string]pendingCall{},
		openStreams: map[*quic.Conn]int{},
		subs:        map[string]*subscription{},
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.listen, err = t.quic.Listen(certificates, quicConfig())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t.group.Go(t.accept)
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
	}
}

// Address returns the address at which peers reach this transport.
func (t *Transport) Address() netip.AddrPort { return t.address }

// Advertise sets the address that is announced to peers, if it is forwarded to the
// listening one. It must be called before the first message.
func (t *Transport) Advertise(address netip.AddrPort) { t.address = address }

// SetQueueLength sets how many frames may be queued per address. It must be called before
// the first message.
func (t *Transport) SetQueueLength(frames int) { t.queueLength = frames }

// Partition drops every message to an address for which lost returns true, to simulate a
// network partition in tests.
func (t *Transport) Partition(lost func(netip.AddrPort) bool) { t.lost.Store(&lost) }

// Publish queues messages for the address in their metadata under To and returns. An
// error means that a message was definitely not sent.
func (t *Transport) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to, err := netip.ParseAddrPort(m.Metadata.Get(To))
		if err != nil {
			return Error.New("message to %q: %v", m.Metadata.Get(To), err)
		}
		if lost := t.lost.Load(); lost != nil && (*lost)(to) {
			t.scope.Counter("peer_cut").Inc(1)
			continue
		}
		f := frame{
			UUID: m.UUID, Topic: topic, ReplyTo: m.Metadata.Get(replyTo),
			Address: t.address.String(), Payload: m.Payload, Compressed: m.Metadata.Get(compressedKey) != "",
		}
		if err := t.push(to, f); err != nil {
			return err
		}
	}
	return nil
}

// Subscribe returns a channel of the messages that arrive on topic, until ctx ends.
func (t *Transport) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	t.subsMu.Lock()
	defer t.subsMu.Unlock()
	if _, taken := t.subs[topic]; taken {
		return nil, Error.New("topic %q already has a subscriber", topic)
	}
	sub := &subscription{in: make(chan *message.Message), out: make(chan *message.Message)}
	sub.ctx, sub.stop = context.WithCancel(ctx)
	t.subs[topic] = sub
	t.group.Go(func() { sub.forward(t.ctx) })
	return sub.out, nil
}

// Call sends payload and waits for the reply or until ctx ends.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, topic string, payload []byte) ([]byte, error) {
	id := watermill.NewUUID()
	reply := make(chan result, 1)
	t.callsMu.Lock()
	t.calls[id] = pendingCall{to: to, reply: reply}
	t.callsMu.Unlock()
	defer t.removeCall(id)
	m := encoded(payload).message(id, to.String())
	if err := t.Publish(topic, m); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r.payload, r.err
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-t.ctx.Done():
		return nil, Error.New("closed")
	}
}

// reply sends the reply to a message that was sent by Call.
func (t *Transport) reply(request *message.Message, e Encoded) error {
	m := e.message(watermill.NewUUID(), request.Metadata.Get(Address))
	m.Metadata.Set(replyTo, request.UUID)
	return t.Publish("reply", m)
}

// Busy reports whether a message to an address is still queued or being written.
func (t *Transport) Busy(to netip.AddrPort) bool {
	t.linksMu.Lock()
	l := t.links[to]
	t.linksMu.Unlock()
	return l != nil && l.busy()
}

// Reconnect makes all further messages use new connections. After the machine was
// suspended, peers may have closed the old ones, while this side considers them alive
// until its own idle timeout of 6 s, because its timers stood still.
func (t *Transport) Reconnect() {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	clear(t.inboundConns)
	for _, l := range t.links {
		l.stale.Store(true)
	}
}

// Close stops listening and drops queued messages.
func (t *Transport) Close() error {
	t.linksMu.Lock()
	t.closed = true
	t.linksMu.Unlock()
	t.stop()
	_ = t.listen.Close()
	t.group.Wait() // connections notify their peers when they close
	_ = t.quic.Close()
	return Error.Wrap(t.quic.Conn.Close())
}

func (t *Transport) removeCall(id string) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	delete(t.calls, id)
}

// failCalls fails all pending calls to an address whose connection was lost.
func (t *Transport) failCalls(to netip.AddrPort, cause error) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	for id, c := range t.calls {
		if c.to == to {
			c.reply <- result{err: cause}
			delete(t.calls, id)
		}
	}
}

// push queues a frame on the link to an address.
func (t *Transport) push(to netip.AddrPort, f frame) error {
	for {
		l, err := t.link(to)
		if err != nil {
			return err
		}
		if err := l.push(f); !errors.Is(err, errLinkClosed) {
			return err
		}
	}
}

// spawn runs do in a goroutine that Close waits for, and reports whether it does: once the
// transport closes, no further goroutine may start.
func (t *Transport) spawn(do func()) bool {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(do)
	return true
}

// link returns the link to an address, and opens it if there is none. Calls may still be made
// while the transport closes, when no further goroutine may start.
func (t *Transport) link(to netip.AddrPort) (*link, error) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	if t.closed {
		return nil, Error.New("closed")
	}
	l, ok := t.links[to]
	if !ok {
		l = newLink(t, to)
		t.links[to] = l
		t.group.Go(l.run)
	}
	return l, nil
}

// inbound returns the open connection that the peer at an address has dialled, or nil.
func (t *Transport) inbound(from netip.AddrPort) *quic.Conn {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	conn := t.inboundConns[from]
	if conn != nil && conn.Context().Err() != nil {
		delete(t.inboundConns, from)
		return nil
	}
	return conn
}

func (t *Transport) dropInbound(from netip.AddrPort) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	delete(t.inboundConns, from)
}

// recordInbound records the connection on which a peer sent a frame, so that frames to it
// use the same one. Using one connection for both directions halves their number in the
// fleet.
func (t *Transport) recordInbound(from netip.AddrPort, conn *quic.Conn) {
	t.linksMu.Lock()
	before, l := t.inboundConns[from], t.links[from]
	t.inboundConns[from] = conn
	t.linksMu.Unlock()
	if l == nil {
		return
	}
	l.used.Store(true)
	if before != conn {
		l.replaceConn(conn)
	}
}

func (t *Transport) accept() {
	for {
		conn, err := t.listen.Accept(t.ctx)
		if err != nil {
			return
		}
		t.group.Go(func() { t.acceptStreams(conn) })
	}
}

func (t *Transport) acceptStreams(conn *quic.Conn) {
	// The loop ends with the connection or the transport. In the latter case the peer
	// is notified, so that it does not have to wait for its idle timeout.
	defer func() { _ = conn.CloseWithError(0, "closing") }()
	name := certifiedName(conn)
	t.group.Go(func() { t.acceptStreamsOf(conn) })
	for {
		s, err := conn.AcceptUniStream(t.ctx)
		if err != nil {
			t.removeInbound(conn)
			return
		}
		t.group.Go(func() { t.readStream(name, conn, s) })
	}
}

// removeInbound removes a connection that has ended.
func (t *Transport) removeInbound(conn *quic.Conn) {
	t.linksMu.Lock()
	defer t.linksMu.Unlock()
	for from, other := range t.inboundConns {
		if other == conn {
			delete(t.inboundConns, from)
		}
	}
}

func (t *Transport) readStream(from string, conn *quic.Conn, s *quic.ReceiveStream) {
	address := netip.AddrPort{}
	for {
		f, err := readFrame(s)
		if err != nil {
			s.CancelRead(0) // the peer's next write fails, and it begins another stream
			return
		}
		if !address.IsValid() {
			address, _ = netip.ParseAddrPort(f.Address) // if invalid, the connection is not used for frames to the peer
		}
		if address.IsValid() {
			t.recordInbound(address, conn)
		}
		t.scope.Counter("peer_received_bytes").Inc(int64(len(f.Payload)))
		t.deliver(from, f)
	}
}

func (t *Transport) deliver(from string, f frame) {
	t.scope.Tagged(map[string]string{"topic": f.Topic}).Counter("peer_received").Inc(1)
	if f.ReplyTo != "" {
		t.deliverReply(f)
		return
	}
	m := message.NewMessage(f.UUID, f.Payload)
	m.Metadata.Set(From, from)
	m.Metadata.Set(Address, f.Address)
	t.subsMu.RLock()
	sub, ok := t.subs[f.Topic]
	t.subsMu.RUnlock()
	if !ok {
		t.scope.Counter("peer_no_subscriber").Inc(1)
		return
	}
	if !sub.deliver(m) {
		t.scope.Counter("peer_nacked").Inc(1)
	}
}

func (t *Transport) deliverReply(f frame) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	c, ok := t.calls[f.ReplyTo]
	if !ok {
		t.scope.Counter("peer_late_reply").Inc(1)
		return
	}
	c.reply <- result{payload: f.Payload}
	delete(t.calls, f.ReplyTo)
}

func certifiedName(conn *quic.Conn) string {
	if leaf := certificate(conn); leaf != nil {
		return leaf.Subject.CommonName
	}
	return ""
}

// certificate returns the peer's certificate, or nil.
func certificate(conn *quic.Conn) *x509.Certificate {
	if chain := conn.ConnectionState().TLS.PeerCertificates; len(chain) > 0 {
		return chain[0]
	}
	return nil
}
