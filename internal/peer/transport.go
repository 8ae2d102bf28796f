// Package peer carries watermill messages between trailshed processes: CBOR
// frames on QUIC streams under mutual TLS. Messages of one sender arrive in
// order on a topic; a message may be lost when its connection is, never
// doubled. The sender's name is the common name of its certificate.
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
	To      = "to"       // address of the receiver, set by the sender
	From    = "from"     // certified name of the sender
	Address = "address"  // listening address of the sender
	replyTo = "reply_to" // UUID of the message that this one answers
	packed  = "packed"   // set where the payload is compressed
)

const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 6 * time.Second
	keepAlive        = 2 * time.Second
	queueLength      = 4096
	protocol         = "trailshed/1"
)

// Transport is a watermill publisher and subscriber over QUIC.
type Transport struct {
	name    string
	address netip.AddrPort
	tls     *tls.Config
	quic    *quic.Transport
	listen  *quic.Listener
	scope   tally.Scope
	queue   int // frames that may wait for one address
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
	cut     atomic.Pointer[func(netip.AddrPort) bool]

	// Lock order: lanes, then a lane's own, then asks; none is held while sending.
	lanesMu sync.Mutex
	lanes   map[netip.AddrPort]*lane
	dialled map[netip.AddrPort]*quic.Conn // by peers, by the addresses that they tell
	asksMu  sync.Mutex
	asks    map[string]ask
	subsMu  sync.RWMutex
	subs    map[string]*subscription
}

// ask is a question that waits for its reply.
type ask struct {
	to    netip.AddrPort
	reply chan answer
}

type answer struct {
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
		name: name, address: conn.LocalAddr().(*net.UDPAddr).AddrPort(), tls: certificates, scope: scope, queue: queueLength,
		quic:  &quic.Transport{Conn: conn},
		lanes: map[netip.AddrPort]*lane{}, dialled: map[netip.AddrPort]*quic.Conn{}, asks: map[string]ask{},
		subs: map[string]*subscription{},
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
		KeepAlivePeriod:      keepAlive,
	}
}

// Address returns the address that others reach this transport by.
func (t *Transport) Address() netip.AddrPort { return t.address }

// Advertise sets the address that is told to others, where what they send there
// is forwarded to the listening one. It is called before the first message.
func (t *Transport) Advertise(address netip.AddrPort) { t.address = address }

// Queue sets how many frames may wait for one address. It is called before the
// first message.
func (t *Transport) Queue(frames int) { t.queue = frames }

// Cut loses every message to an address for which lost returns true, as a cut
// network does. It is a seam for tests.
func (t *Transport) Cut(lost func(netip.AddrPort) bool) { t.cut.Store(&lost) }

// Publish sends messages to the address in their metadata under To. It queues
// and returns; an error says that a message was certainly not sent.
func (t *Transport) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to, err := netip.ParseAddrPort(m.Metadata.Get(To))
		if err != nil {
			return Error.New("message to %q: %v", m.Metadata.Get(To), err)
		}
		if cut := t.cut.Load(); cut != nil && (*cut)(to) {
			t.scope.Counter("peer_cut").Inc(1)
			continue
		}
		f := frame{
			UUID: m.UUID, Topic: topic, ReplyTo: m.Metadata.Get(replyTo),
			Address: t.address.String(), Payload: m.Payload, Packed: m.Metadata.Get(packed) != "",
		}
		if err := t.push(to, f); err != nil {
			return err
		}
	}
	return nil
}

// Subscribe returns the messages that arrive on topic, until ctx ends.
func (t *Transport) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	t.subsMu.Lock()
	defer t.subsMu.Unlock()
	if _, taken := t.subs[topic]; taken {
		return nil, Error.New("topic %q has a subscriber", topic)
	}
	sub := &subscription{in: make(chan *message.Message), out: make(chan *message.Message)}
	sub.ctx, sub.stop = context.WithCancel(ctx)
	t.subs[topic] = sub
	t.group.Go(func() { sub.forward(t.ctx) })
	return sub.out, nil
}

// Ask sends payload and waits for the reply, at most until ctx ends.
func (t *Transport) Ask(ctx context.Context, to netip.AddrPort, topic string, payload []byte) ([]byte, error) {
	id := watermill.NewUUID()
	reply := make(chan answer, 1)
	t.asksMu.Lock()
	t.asks[id] = ask{to: to, reply: reply}
	t.asksMu.Unlock()
	defer t.forget(id)
	m := encoded(payload).message(id, to.String())
	if err := t.Publish(topic, m); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.payload, a.err
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-t.ctx.Done():
		return nil, Error.New("closed")
	}
}

// reply answers a message that came through Ask.
func (t *Transport) reply(asked *message.Message, e Encoded) error {
	m := e.message(watermill.NewUUID(), asked.Metadata.Get(Address))
	m.Metadata.Set(replyTo, asked.UUID)
	return t.Publish("reply", m)
}

// Busy says whether something that was sent to an address still waits for its link.
func (t *Transport) Busy(to netip.AddrPort) bool {
	t.lanesMu.Lock()
	l := t.lanes[to]
	t.lanesMu.Unlock()
	return l != nil && l.busy()
}

// Reconnect has what is sent from now on go over new connections. After a suspension
// of the machine the others may have given up on the old ones, which this side takes
// for sound until its own idle timeout of 6 s, since its timers stood still.
func (t *Transport) Reconnect() {
	t.lanesMu.Lock()
	defer t.lanesMu.Unlock()
	clear(t.dialled)
	for _, l := range t.lanes {
		l.stale.Store(true)
	}
}

// Close stops listening and drops what is queued.
func (t *Transport) Close() error {
	t.stop()
	_ = t.listen.Close()
	t.group.Wait() // connections tell their peers that they close
	_ = t.quic.Close()
	return Error.Wrap(t.quic.Conn.Close())
}

func (t *Transport) forget(id string) {
	t.asksMu.Lock()
	defer t.asksMu.Unlock()
	delete(t.asks, id)
}

// fail ends every question to an address whose connection broke.
func (t *Transport) fail(to netip.AddrPort, cause error) {
	t.asksMu.Lock()
	defer t.asksMu.Unlock()
	for id, a := range t.asks {
		if a.to == to {
			a.reply <- answer{err: cause}
			delete(t.asks, id)
		}
	}
}

// push queues a frame at the lane to an address.
func (t *Transport) push(to netip.AddrPort, f frame) error {
	for {
		if err := t.lane(to).push(f); !errors.Is(err, errLaneEnded) {
			return err
		}
	}
}

func (t *Transport) lane(to netip.AddrPort) *lane {
	t.lanesMu.Lock()
	defer t.lanesMu.Unlock()
	l, ok := t.lanes[to]
	if !ok {
		l = newLane(t, to)
		t.lanes[to] = l
		t.group.Go(l.run)
	}
	return l
}

// inbound returns a connection that the peer at an address has dialled, or nil.
func (t *Transport) inbound(from netip.AddrPort) *quic.Conn {
	t.lanesMu.Lock()
	defer t.lanesMu.Unlock()
	conn := t.dialled[from]
	if conn != nil && conn.Context().Err() != nil {
		delete(t.dialled, from)
		return nil
	}
	return conn
}

func (t *Transport) forgetInbound(from netip.AddrPort) {
	t.lanesMu.Lock()
	defer t.lanesMu.Unlock()
	delete(t.dialled, from)
}

// heard notes that a peer has sent something, and on which connection it may be answered:
// one for both directions halves the connections of the fleet.
func (t *Transport) heard(from netip.AddrPort, conn *quic.Conn) {
	t.lanesMu.Lock()
	before, l := t.dialled[from], t.lanes[from]
	t.dialled[from] = conn
	t.lanesMu.Unlock()
	if l == nil {
		return
	}
	l.used.Store(true)
	if before != conn {
		l.supersede(conn)
	}
}

func (t *Transport) accept() {
	for {
		conn, err := t.listen.Accept(t.ctx)
		if err != nil {
			return
		}
		t.group.Go(func() { t.receive(conn) })
	}
}

func (t *Transport) receive(conn *quic.Conn) {
	// It ends with the connection or the transport; the peer is told of the
	// latter and need not wait for its idle timeout.
	defer func() { _ = conn.CloseWithError(0, "closing") }()
	name := certifiedName(conn)
	for {
		s, err := conn.AcceptUniStream(t.ctx)
		if err != nil {
			t.lost(conn)
			return
		}
		t.group.Go(func() { t.drain(name, conn, s) })
	}
}

// lost forgets a connection that has ended.
func (t *Transport) lost(conn *quic.Conn) {
	t.lanesMu.Lock()
	defer t.lanesMu.Unlock()
	for from, other := range t.dialled {
		if other == conn {
			delete(t.dialled, from)
		}
	}
}

func (t *Transport) drain(from string, conn *quic.Conn, s *quic.ReceiveStream) {
	address := netip.AddrPort{}
	for {
		f, err := readFrame(s)
		if err != nil {
			return
		}
		if !address.IsValid() {
			address, _ = netip.ParseAddrPort(f.Address) // of no use: then it is not answered here
		}
		if address.IsValid() {
			t.heard(address, conn)
		}
		t.scope.Counter("peer_received_bytes").Inc(int64(len(f.Payload)))
		t.deliver(from, f)
	}
}

func (t *Transport) deliver(from string, f frame) {
	t.scope.Tagged(map[string]string{"topic": f.Topic}).Counter("peer_received").Inc(1)
	if f.ReplyTo != "" {
		t.settle(f)
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

func (t *Transport) settle(f frame) {
	t.asksMu.Lock()
	defer t.asksMu.Unlock()
	a, ok := t.asks[f.ReplyTo]
	if !ok {
		t.scope.Counter("peer_late_reply").Inc(1)
		return
	}
	a.reply <- answer{payload: f.Payload}
	delete(t.asks, f.ReplyTo)
}

func certifiedName(conn *quic.Conn) string {
	if leaf := certificate(conn); leaf != nil {
		return leaf.Subject.CommonName
	}
	return ""
}

// certificate is the peer's, or nil.
func certificate(conn *quic.Conn) *x509.Certificate {
	if chain := conn.ConnectionState().TLS.PeerCertificates; len(chain) > 0 {
		return chain[0]
	}
	return nil
}
