package uplink

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// ErrNotSent says that no byte of the request left this instance, so that it
// certainly did not run.
var ErrNotSent = errors.New("not sent")

// ErrSevered says that the connection ended, or carried something else than an
// answer, after some of the request had left: it may have run.
var ErrSevered = errors.New("connection ended without an answer")

// Message is one request as it goes to an endpoint.
type Message struct {
	To     netip.AddrPort
	Life   string // of the endpoint there; a kept connection carries no other life's
	Method string
	Target string // path and query, byte for byte as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Rest is the longest idle time of a kept connection that may carry it.
	Rest time.Duration
}

// Exchange is an answer that is being read.
type Exchange struct {
	Response *http.Response
	pool     *Pool
	conn     *conn
	stop     func() bool
	written  chan error
	closed   bool
}

// Do sends m and reads the head of the answer that accept takes; answers that
// it does not take belong to earlier requests and are skipped. When ctx ends,
// the connection is closed, which tells the endpoint to stop.
func (p *Pool) Do(ctx context.Context, m Message, accept func(*http.Response) bool) (*Exchange, error) {
	c, err := p.take(ctx, target{m.To, m.Life}, m.Rest)
	if err != nil {
		return nil, Error.Wrap(errors.Join(ErrNotSent, err))
	}
	e := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := e.send(m); err != nil {
		e.Close(false)
		return nil, Error.Wrap(err)
	}
	if err := e.receive(m.Method, accept); err != nil {
		e.Close(false)
		return nil, Error.Wrap(errors.Join(ErrSevered, err))
	}
	return e, nil
}

// send writes the request. What fits one packet is written at once; a longer
// body goes along while the answer is awaited, as an endpoint may answer early.
func (e *Exchange) send(m Message) error {
	packet := append(head(m), m.Body[:min(len(m.Body), firstWrite)]...)
	n, err := e.conn.Write(packet)
	if err != nil && n == 0 {
		return errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return errors.Join(ErrSevered, err)
	}
	rest := m.Body[min(len(m.Body), firstWrite):]
	if len(rest) == 0 {
		e.written <- nil
		return nil
	}
	go func() {
		_, err := e.conn.Write(rest)
		e.written <- err
	}()
	return nil
}

// firstWrite is how much of a body is written before the answer is awaited; it
// fits the small windows of the network.
const firstWrite = 8 << 10

func head(m Message) []byte {
	b := make([]byte, 0, 1024+min(len(m.Body), firstWrite))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, m.Host...)
	b = append(b, "\r\n"...)
	for name, values := range m.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if m.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads answers until accept takes one.
func (e *Exchange) receive(method string, accept func(*http.Response) bool) error {
	asked := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(e.conn.reader, asked) //nolint:bodyclose // Close ends the connection, or keeps it once the body was read
		if err != nil {
			return err
		}
		e.pool.Heard(e.conn.to.life, resp)
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if accept(resp) {
			e.Response = resp
			return nil
		}
		e.pool.scope.Counter("uplink_foreign_answers").Inc(1)
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("an answer to another request has no length")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
}

// Close ends the exchange. The connection is kept if whole is true and nothing
// speaks against it: the request was written entirely, the answer ended where
// its length says, and the endpoint did not ask to close.
func (e *Exchange) Close(whole bool) {
	if e.closed {
		return
	}
	e.closed = true
	alive := e.stop()
	if !whole || !alive || !e.keepable() {
		_ = e.conn.Close()
		return
	}
	e.conn.keep = keepFor(e.Response.Header.Get("Keep-Alive"))
	e.pool.put(e.conn)
}

func (e *Exchange) keepable() bool {
	r := e.Response
	if r == nil || r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false // the endpoint still reads a body that it answered early
	}
}

// keepFor reads the seconds of a Keep-Alive header.
func keepFor(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil {
			return time.Duration(keepPart * float64(time.Duration(seconds)*time.Second))
		}
	}
	return keepDefault
}
